"""Estimates of the requests in flight at each endpoint, as known to one router."""
