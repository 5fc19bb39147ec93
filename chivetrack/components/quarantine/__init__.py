"""Fingerprints that identify repeated requests across routers."""
