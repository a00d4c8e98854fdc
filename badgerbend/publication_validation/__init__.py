"""Validation by the publisher: a change that is not valid is rejected before any broker receives it."""
