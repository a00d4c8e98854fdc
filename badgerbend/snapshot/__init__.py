"""A broker's own record in a file, for its next start."""
