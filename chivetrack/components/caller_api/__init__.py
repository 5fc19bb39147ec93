"""HTTP interface for callers."""
