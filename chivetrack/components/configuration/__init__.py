"""Distributes the committed configuration to every router and reports its freshness."""
