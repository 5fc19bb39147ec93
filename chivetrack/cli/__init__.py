"""The operators' command line: a client of the resource API."""
