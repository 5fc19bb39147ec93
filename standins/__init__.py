"""Stand-ins for the systems around the fleet; not part of the shipped package."""
