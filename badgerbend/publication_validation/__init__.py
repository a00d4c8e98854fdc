"""Validation by the publisher: an invalid change is rejected before any broker receives it."""
