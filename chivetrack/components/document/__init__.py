"""The configuration document as the state that the log replicates."""
