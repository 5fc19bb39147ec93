"""Carries messages between instances."""
