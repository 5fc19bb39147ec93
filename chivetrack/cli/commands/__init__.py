"""The commands, a module for each group; importing one enters its commands in the app."""
