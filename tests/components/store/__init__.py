"""Tests of store."""
