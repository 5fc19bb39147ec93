"""What this router learns of endpoints from the answers to its own requests; free of I/O."""
