"""Carries a request through the filter chain, its attempts and its end."""
