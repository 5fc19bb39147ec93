"""The deterministic store that the replicated log drives."""
