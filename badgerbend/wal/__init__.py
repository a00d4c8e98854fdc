"""What a voter keeps on disk: its records in segments, whole or refused."""
