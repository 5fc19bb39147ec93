"""Tests of the configuration component."""
