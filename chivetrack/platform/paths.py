"""The paths that the platform asks."""

PATH_READY = "/ready"
PATH_ZONES = "/evacuate"
