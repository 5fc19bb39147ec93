"""Base class of settings sections that are pydantic models."""

from typing import Annotated

from pydantic import BaseModel, BeforeValidator, ConfigDict, PlainSerializer

from chivetrack.helpers.sections.values import Address, parse_address

AddressField = Annotated[Address, BeforeValidator(parse_address), PlainSerializer(str)]


class Section(BaseModel):
    """Base class of a section; unknown keys are findings and instances are immutable."""

    model_config = ConfigDict(frozen=True, extra="forbid", arbitrary_types_allowed=True)
