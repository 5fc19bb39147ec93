"""Reconstructs from logged events what happened to a request."""
