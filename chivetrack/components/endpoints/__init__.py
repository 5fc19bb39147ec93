"""Announcements, leases and health of endpoints."""
