"""Detects requests that crash endpoints and keeps the list of requests that routers reject."""
