"""The feed over sockets: connects the sans-I/O relays and followers of `feed` to TCP, and control machines to UDP.

The modules here carry out what the state machines of `feed` ask for; they take no decisions of their own.
"""
