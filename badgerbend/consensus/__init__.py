"""Consensus on one replicated log among a few voters: Raft, without a clock, a socket or a disk of its own."""
