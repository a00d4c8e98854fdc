"""A versioned feed of changes (endpoint list, configuration) from a few control machines to every broker.

The replicated log (`consensus`) orders publications, `relay` fans them out to followers, and `follower` keeps a
verified replica. The modules of this package are state machines that do no I/O and read no clock.
"""
