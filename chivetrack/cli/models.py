"""Models of the resource API's answers, as the command line uses them."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import msgspec

from chivetrack.cli.const import EXIT_CODES_BY_SEVERITY, ExitCode
from chivetrack.exceptions import Ran
from chivetrack.helpers.finding import Finding

Document = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Resource:
    """A resource as the server or a file describes it; ``document`` is the whole resource."""

    document: Document

    @property
    def kind(self) -> str:
        """Return the kind."""
        return str(self.document.get("kind", ""))

    @property
    def name(self) -> str:
        """Return the name."""
        return str(self._metadata.get("name", ""))

    @property
    def revision(self) -> int | None:
        """Return the revision, ``None`` if the document has none."""
        revision = self._metadata.get("revision")
        return revision if isinstance(revision, int) else None

    @property
    def labels(self) -> dict[str, str]:
        """Return the labels."""
        return self._metadata.get("labels") or {}

    @property
    def spec(self) -> Document:
        """Return the desired state."""
        return self.document.get("spec") or {}

    @property
    def status(self) -> Document:
        """Return the observed state."""
        return self.document.get("status") or {}

    def make_desired_document(self) -> Document:
        """Return the document to send, without the status, which only the server sets."""
        return {name: value for name, value in self.document.items() if name != "status"}

    @property
    def _metadata(self) -> Document:
        return self.document.get("metadata") or {}

    def set_revision(self, revision: int) -> "Resource":
        """Return a copy with the given revision, which a replacement then requires."""
        metadata = {**self._metadata, "revision": revision}
        return Resource({**self.document, "metadata": metadata})


class RemoteFinding(msgspec.Struct, frozen=True):
    """A fault in a document that the server found."""

    message: str
    place: str = ""
    hint: str | None = None


class RemoteError(msgspec.Struct, frozen=True):
    """The error in an answer of the resource API."""

    code: str
    message: str
    ran: Ran = Ran.MAYBE
    retry_after_s: float | None = None
    findings: tuple[RemoteFinding, ...] = ()


class ErrorBody(msgspec.Struct, frozen=True):
    """The body of an answer that is not a success."""

    error: RemoteError


class FailureKind(StrEnum):
    """What is known about the effect of a request that did not succeed."""

    REFUSED = "refused"
    UNKNOWN = "unknown"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, slots=True, kw_only=True)
class Failure:
    """A request that did not succeed, and what is known about its effect."""

    kind: FailureKind
    code: str
    message: str
    status: int | None = None
    retry_after_s: float | None = None
    findings: tuple[Finding, ...] = ()
    request_id: str | None = None

    @property
    def exit_code(self) -> ExitCode:
        """Return the exit code of the command for this failure."""
        if self.kind is FailureKind.UNKNOWN:
            return ExitCode.UNKNOWN
        if self.kind is FailureKind.UNREACHABLE:
            return ExitCode.UNREACHABLE
        if self.findings:
            return ExitCode.FINDINGS
        by_status = {404: ExitCode.NOT_FOUND, 409: ExitCode.CONFLICT, 412: ExitCode.CONFLICT}
        return by_status.get(self.status or 0, ExitCode.REFUSED)

    def __str__(self) -> str:
        text = f"{self.kind.value}: {self.message} [{self.code}]"
        if self.retry_after_s is not None:
            text += f"; try again in {self.retry_after_s:g} s"
        if self.kind is FailureKind.UNKNOWN and self.request_id:
            text += f"; request id {self.request_id}"
        return text


def get_worst_exit_code(codes: Sequence[ExitCode]) -> ExitCode:
    """Return the worst of several exit codes, ``OK`` if there are none."""
    return max(codes, key=EXIT_CODES_BY_SEVERITY.index, default=ExitCode.OK)
