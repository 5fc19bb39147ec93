"""Planned drains: take endpoints out of service without interrupting requests."""
