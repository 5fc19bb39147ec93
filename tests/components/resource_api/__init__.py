"""Tests of resource_api."""
