"""Processes a request: the filter chain, the attempts at endpoints and the final answer."""
