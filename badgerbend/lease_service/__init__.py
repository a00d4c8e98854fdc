"""Duties on sockets: a broker's part in them, its vote where it has one, and what a person sees of both."""
