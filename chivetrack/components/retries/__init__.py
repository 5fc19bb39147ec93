"""Decides whether a request that failed at one endpoint may be sent to another."""
