"""Runs controllers: one lease holder each, level-triggered, safe to take over."""
