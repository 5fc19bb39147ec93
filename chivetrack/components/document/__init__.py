"""The configuration document as the replicated state of the log."""
