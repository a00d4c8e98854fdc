"""The snapshot file in which a broker keeps its own knowledge for its next start."""
