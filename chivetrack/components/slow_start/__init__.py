"""Limits the rate at which the fleet sends requests to each cold endpoint."""
