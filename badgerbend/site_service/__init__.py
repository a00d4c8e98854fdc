"""What preference among sites needs of a running broker: timers, connections, metrics and HTTP pages."""
