"""Peers of a broker: membership over UDP, records of knowledge over HTTP, and the broker's own snapshot file."""
