"""The way to nodes that speak in frames: many parts at once on one connection, answered in any order."""
