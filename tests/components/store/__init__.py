"""Tests of the store component."""
