"""Stand-ins for the systems that a fleet works with; not part of the shipped package."""
