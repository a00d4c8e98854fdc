"""A voter's write-ahead log on disk: records in segments, with group commit, read back complete or rejected."""
