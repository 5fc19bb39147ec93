"""Tests of the resource API."""
