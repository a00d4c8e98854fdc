"""Consensus on one replicated log among a few voters: Raft as a state machine without a clock, sockets or disk I/O."""
