"""Tells from event lines what happened to a request."""
