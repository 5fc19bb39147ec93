"""The registry of resource kinds, filled by a decorator."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

import msgspec
from pydantic import BaseModel, ConfigDict

from chivetrack.helpers.registry import Registry


class Spec(BaseModel):
    """Base class of validated specifications; unknown keys are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True)


SpecT = TypeVar("SpecT", bound=Spec)
FormT = TypeVar("FormT")


class CompactForm(Generic[FormT]):
    """Decodes the stored bytes of a specification into a slotted data class."""

    def __init__(self, *, form: type[FormT]) -> None:
        """Create a decoder for the data class ``form``."""
        self._decoder = msgspec.msgpack.Decoder(form, strict=False)

    def decode(self, spec: bytes) -> FormT | None:
        """Decode stored bytes; keys that are unknown to this version are ignored.

        Returns ``None`` if a value is invalid in this version: a newer version may have
        written it, and a router must continue with the rest of its configuration.
        """
        try:
            return self._decoder.decode(spec)
        except msgspec.MsgspecError:
            return None


@dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """One kind of resource.

    Resources of ``stored`` kinds are changed through the log; those of other kinds are
    observed and read-only. ``compact`` decodes a stored specification to its compact form.
    """

    name: str
    summary: str
    spec: type[Spec]
    compact: CompactForm[Any]
    stored: bool


KINDS: Registry[Kind] = Registry(name="resource kind")


def resource_kind(
    name: str, *, form: type[Any], stored: bool = True
) -> Callable[[type[SpecT]], type[SpecT]]:
    """Register a specification, with its compact form, under the name of its kind."""

    def register(spec: type[SpecT]) -> type[SpecT]:
        summary = (spec.__doc__ or "").strip().splitlines()[0]
        kind = Kind(
            name=name,
            summary=summary,
            spec=spec,
            compact=CompactForm(form=form),
            stored=stored,
        )
        KINDS.register(name)(kind)
        return spec

    return register
