"""URL paths of the platform's HTTP API."""

PATH_READY = "/ready"
PATH_ZONES = "/evacuate"

# Not part of the platform's API; used by the operator commands.
PATH_QUARANTINE = "/quarantine"
