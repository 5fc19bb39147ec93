"""Tests of the model placement."""
