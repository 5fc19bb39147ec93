"""Tests of the drains component."""
