"""The paths that the platform asks."""

PATH_READY = "/ready"
