"""The base of the sections that are models of pydantic."""

from typing import Annotated

from pydantic import BaseModel, BeforeValidator, ConfigDict, PlainSerializer

from chivetrack.helpers.sections.values import Address, parse_address

AddressField = Annotated[Address, BeforeValidator(parse_address), PlainSerializer(str)]


class Section(BaseModel):
    """Base of every section: unknown keys are findings, values never change."""

    model_config = ConfigDict(frozen=True, extra="forbid", arbitrary_types_allowed=True)
