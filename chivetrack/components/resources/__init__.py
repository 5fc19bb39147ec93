"""The kinds of resources: validated at the border, compact inside."""
