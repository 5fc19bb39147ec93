"""The settings of a daemon: a TOML file that is validated completely before the start."""

from chivetrack.components.settings.config import load_settings, parse_settings
from chivetrack.components.settings.models import Settings

__all__ = ["Settings", "load_settings", "parse_settings"]
