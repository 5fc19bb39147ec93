"""Benchmark commands that print measurements; they assert no limits."""
