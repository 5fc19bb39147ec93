"""Tests of the orders component."""
