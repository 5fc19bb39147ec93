"""What operators configure for traffic: routes, services, workspaces, limits on callers."""
