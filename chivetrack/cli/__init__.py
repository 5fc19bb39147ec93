"""Command line for operators: a client of the resource API."""
