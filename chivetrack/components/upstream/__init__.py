"""Sends a request to an endpoint and reads its answer, over HTTP."""
