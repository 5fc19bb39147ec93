"""The memory that the connections of a process may hold together."""
