"""Placement measured: the real decision objects against a table of fake engines."""
