"""The operators' routes beside the resources: status, explanations, replicas, backup."""
