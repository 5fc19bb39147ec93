"""Claims on idempotency keys, held in the replicated log."""
