"""Operators' orders that a zone's endpoints get nothing new, as replicated state."""
