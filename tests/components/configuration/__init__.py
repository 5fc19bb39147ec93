"""Tests of configuration."""
