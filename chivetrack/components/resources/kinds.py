"""The registry of resource kinds, filled by a decorator."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

import msgspec
from pydantic import BaseModel, ConfigDict

from chivetrack.helpers.registry import Registry


class Spec(BaseModel):
    """Base of every validated specification; unknown keys are faults."""

    model_config = ConfigDict(extra="forbid", frozen=True)


SpecT = TypeVar("SpecT", bound=Spec)
FormT = TypeVar("FormT")


class CompactForm(Generic[FormT]):
    """Reads the stored bytes of a specification into a slotted data class."""

    def __init__(self, *, form: type[FormT]) -> None:
        """Prepare a decoder for ``form``."""
        self._decoder = msgspec.msgpack.Decoder(form, strict=False)

    def decode(self, spec: bytes) -> FormT | None:
        """Decode stored bytes; keys that this version does not know are ignored.

        ``None`` when a value is unknown: a newer version may have written it, and a
        router must go on with the rest of its configuration.
        """
        try:
            return self._decoder.decode(spec)
        except msgspec.MsgspecError:
            return None


@dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """One kind of resource.

    ``stored`` kinds are changed through the log; the others are observed and only
    shown. ``compact`` gives the inside form of a stored specification.
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

    def enter(spec: type[SpecT]) -> type[SpecT]:
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

    return enter
