"""HTTP routes for operators besides resources: status, explanations, replicas, backup."""
