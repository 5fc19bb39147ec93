"""Validates announcements received over HTTP and reports all errors at once."""

from typing import Any, Literal

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from chivetrack.components.endpoints.const import MAX_LEASE_S, MIN_LEASE_S
from chivetrack.components.endpoints.models import AnnouncedState, Announcement, EndpointKind
from chivetrack.helpers.finding import Finding, suggest_name

_NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._:/@-]*$"
_MAX_NAME_LENGTH = 128
_MAX_LIST_LENGTH = 64


class AnnouncementModel(BaseModel):
    """The body of an endpoint's announcement over HTTP."""

    model_config = ConfigDict(extra="forbid", strict=True)

    id: str = Field(pattern=_NAME_PATTERN, max_length=_MAX_NAME_LENGTH)
    incarnation: int = Field(ge=0, lt=1 << 63)
    address: str = Field(pattern=r"^https?://[^\s/]+$", max_length=256)
    kind: Literal["engine", "service"]
    service: str = Field(pattern=_NAME_PATTERN, max_length=_MAX_NAME_LENGTH)
    region: str = Field(pattern=_NAME_PATTERN, max_length=_MAX_NAME_LENGTH)
    zone: str = Field(pattern=_NAME_PATTERN, max_length=_MAX_NAME_LENGTH)
    capacity: int = Field(ge=1, le=100_000)
    lease_s: float = Field(ge=MIN_LEASE_S, le=MAX_LEASE_S)
    state: Literal["ready", "leaving"] = "ready"
    models: list[str] = Field(default_factory=list, max_length=_MAX_LIST_LENGTH)
    adapters: list[str] = Field(default_factory=list, max_length=_MAX_LIST_LENGTH)
    version: str = Field(default="", max_length=_MAX_NAME_LENGTH)
    role: str = Field(default="", max_length=_MAX_NAME_LENGTH)
    checks_fencing: bool = False


def parse_announcement(document: Any) -> Result[Announcement, tuple[Finding, ...]]:
    """Validate a decoded JSON document and return the announcement or all validation errors."""
    try:
        model = AnnouncementModel.model_validate(document)
    except ValidationError as error:
        return Error(_list_findings(error))
    return Ok(
        Announcement(
            endpoint_id=model.id,
            incarnation=model.incarnation,
            address=model.address,
            kind=EndpointKind(model.kind),
            service=model.service,
            region=model.region,
            zone=model.zone,
            capacity=model.capacity,
            lease_s=model.lease_s,
            state=AnnouncedState(model.state),
            models=tuple(model.models),
            adapters=tuple(model.adapters),
            version=model.version,
            role=model.role,
            checks_fencing=model.checks_fencing,
        )
    )


def _list_findings(error: ValidationError) -> tuple[Finding, ...]:
    findings: list[Finding] = []
    for detail in error.errors(include_url=False):
        place = ".".join(str(part) for part in detail["loc"]) or "announcement"
        hint = None
        if detail["type"] == "extra_forbidden":
            hint = suggest_name(place, AnnouncementModel.model_fields)
        findings.append(Finding(place=place, message=detail["msg"], hint=hint))
    return tuple(findings)
