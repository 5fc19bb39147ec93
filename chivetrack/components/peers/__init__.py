"""Transports that carry messages between instances."""
