"""Planned drains: taking endpoints out of service without cutting anything."""
