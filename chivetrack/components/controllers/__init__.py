"""Runs level-triggered controllers, each on the one instance that holds its lease."""
