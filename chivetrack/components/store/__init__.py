"""The deterministic state machine of the replicated log: resources, leases and claims."""
