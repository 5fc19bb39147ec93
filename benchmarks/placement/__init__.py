"""Placement experiment: the real placement components with simulated engines."""
