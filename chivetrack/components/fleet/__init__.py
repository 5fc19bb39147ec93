"""Informs the other components of live instances and of the leader of the log."""
