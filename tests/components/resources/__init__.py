"""Tests of resources."""
