"""A voter's write-ahead log on disk: records in segments, with group commit. A damaged log is rejected."""
