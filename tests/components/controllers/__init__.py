"""Tests of the controllers component."""
