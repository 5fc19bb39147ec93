"""The traffic configuration of operators: routes, services, workspaces, caller limits."""
