"""One package per component of the system."""
