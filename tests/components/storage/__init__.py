"""Tests of the storage component."""
