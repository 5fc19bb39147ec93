"""Whether a request that failed on one endpoint may go to another."""
