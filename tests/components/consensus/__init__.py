"""Tests of the consensus component."""
