"""Tests of the resources component."""
