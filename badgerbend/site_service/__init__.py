"""Connects the preference among sites to a running broker: its timers, connections, metrics and HTTP pages."""
