"""Keeps streams at the software version that began them."""
