"""Tests of the replica component."""
