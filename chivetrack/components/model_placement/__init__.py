"""Placement of models and adapters on engines."""
