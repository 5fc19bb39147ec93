"""Keeps models and adapters in place on engines."""
