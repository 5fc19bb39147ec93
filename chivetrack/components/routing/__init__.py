"""Chooses the endpoint for a request."""
