"""The framed protocol to nodes: many parts are in flight on one connection and are answered in any order."""
