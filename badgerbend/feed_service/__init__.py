"""The feed over sockets: connects the sans-I/O relays and followers of `feed` to TCP, and control machines to UDP.

The modules of this package carry out the actions of the state machines in `feed` and make no decisions of their own.
"""
