"""What the processes of a deployment are told at their start."""
