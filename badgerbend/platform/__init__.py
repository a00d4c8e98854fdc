"""The broker on the platform: its configuration, client requests, framed protocol to nodes and member list."""
