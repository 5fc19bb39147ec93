"""General helpers that any package may import."""
