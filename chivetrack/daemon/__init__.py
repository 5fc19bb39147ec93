"""The daemon: edges around the decision components, and their assembly."""
