"""Announcements of endpoints about themselves, and their order."""
