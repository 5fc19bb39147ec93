"""The validated settings of the distribution of configuration."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from chivetrack.components.configuration import const
from chivetrack.components.configuration.models import ConfigurationSettings, WhenUnconfirmed
from chivetrack.const import KIBIBYTE, MEBIBYTE

Seconds = Annotated[float, Field(gt=0.0, le=3600.0)]


class ConfigurationConfig(BaseModel):
    """The ``[configuration]`` table of a daemon's settings."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    poll_interval_s: Seconds = const.DEFAULT_POLL_INTERVAL_S
    answer_timeout_s: Seconds = const.DEFAULT_ANSWER_TIMEOUT_S
    confirmation_window_s: Seconds = const.DEFAULT_CONFIRMATION_WINDOW_S
    stale_upstream_s: Seconds = const.DEFAULT_STALE_UPSTREAM_S
    batch_bytes: Annotated[int, Field(ge=16 * KIBIBYTE, le=2 * MEBIBYTE)] = (
        const.DEFAULT_BATCH_BYTES
    )
    push_interval_s: Seconds = const.DEFAULT_PUSH_INTERVAL_S
    when_unconfirmed: WhenUnconfirmed = WhenUnconfirmed.REFUSE

    def build(self) -> ConfigurationSettings:
        """Return the settings in the form that the component uses."""
        return ConfigurationSettings(**self.model_dump())
