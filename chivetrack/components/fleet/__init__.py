"""Tells the other components who is alive and who leads."""
