"""Statistics of endpoints from the answers to this router's own requests; without I/O."""
