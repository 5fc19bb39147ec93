"""Forwards commands and confirmed reads from any instance to the leader of the log."""
