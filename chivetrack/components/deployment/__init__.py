"""Settings that the processes of a deployment read at their start."""
