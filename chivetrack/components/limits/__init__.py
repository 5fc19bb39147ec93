"""Limits of workspaces: rate, concurrency, fair shares, a bounded queue."""
