"""Tasks of the developers."""
