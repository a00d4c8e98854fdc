"""Where servers are: watches on lists of them, and the numbers that the module knows servers by."""
