"""Agreement among a few voters on one log: Raft, pure. Time and messages in, messages and writes out."""
