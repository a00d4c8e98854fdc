"""The driver between sockets and decisions: it collects events, makes one step per turn of the event loop and carries
out the actions in order."""
