"""A versioned feed of changes (list of nodes, configuration) from a few control machines to every broker. Pure.

The agreed log (`consensus`) orders publications; `relay` fans them out; `follower` keeps a verified replica.
"""
