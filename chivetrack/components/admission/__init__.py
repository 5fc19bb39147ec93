"""Admission of requests to plain services with few slots."""
