"""Commands of the store, as stored in the log."""

import hashlib
from typing import TypeAlias

import msgspec

from chivetrack.components.store.records import Label
from chivetrack.helpers.codec import Message, encode, message


class Stamp(Message, frozen=True, array_like=True):
    """Data that the proposer adds to a command.

    ``time_ms`` is the proposer's clock in milliseconds since 1970. With a
    ``request_id``, a resend receives the first outcome. ``fingerprint`` distinguishes a
    resend from another request with the same id: the proposer hashes the caller's request;
    if empty, the command itself is hashed. With a ``lease``, the command is refused unless
    ``fencing`` is the number under which the lease is currently held.
    """

    time_ms: int
    request_id: str = ""
    fingerprint: bytes = b""
    lease: str = ""
    fencing: int = 0


class Command(Message, frozen=True, array_like=True):
    """Base of all commands."""

    stamp: Stamp


@message("store/create")
class Create(Command, frozen=True, array_like=True):
    """Create a resource; refused if the name exists."""

    kind: str
    name: str
    spec: bytes
    labels: tuple[Label, ...] = ()
    finalizers: tuple[str, ...] = ()


@message("store/replace")
class Replace(Command, frozen=True, array_like=True):
    """Replace specification and labels.

    ``precondition`` is a revision that the caller has read: the command is refused if the
    specification or the labels have changed since. ``None`` replaces unconditionally.
    """

    kind: str
    name: str
    spec: bytes
    labels: tuple[Label, ...] = ()
    precondition: int | None = None


@message("store/patch")
class Patch(Command, frozen=True, array_like=True):
    """Merge a JSON merge patch (as msgpack) of ``spec`` and ``labels`` into a resource.

    ``precondition`` is required: the proposer has validated the result of the patch for that
    revision. The store does not validate specifications, since its outcome must not depend
    on the program version of a replica.
    """

    kind: str
    name: str
    patch: bytes
    precondition: int


@message("store/update-status")
class UpdateStatus(Command, frozen=True, array_like=True):
    """Replace the status; ``precondition`` covers changes of the status only."""

    kind: str
    name: str
    status: bytes
    precondition: int | None = None


@message("store/delete")
class Delete(Command, frozen=True, array_like=True):
    """Delete a resource; one with finalizers is only marked until the last is removed."""

    kind: str
    name: str
    precondition: int | None = None


@message("store/add-finalizer")
class AddFinalizer(Command, frozen=True, array_like=True):
    """Add a finalizer, for which a deletion waits; refused once the deletion has begun."""

    kind: str
    name: str
    finalizer: str


@message("store/remove-finalizer")
class RemoveFinalizer(Command, frozen=True, array_like=True):
    """Remove a finalizer after the controller's clean-up; idempotent."""

    kind: str
    name: str
    finalizer: str


@message("store/acquire-lease")
class AcquireLease(Command, frozen=True, array_like=True):
    """Acquire a lease; ``holder`` must be unique to one run of one process.

    If the holder of an unexpired lease acquires it again, the lease is extended under the
    same fencing number, so that the command can be resent.
    """

    name: str
    holder: str
    duration_ms: int


@message("store/renew-lease")
class RenewLease(Command, frozen=True, array_like=True):
    """Extend a lease that has not expired."""

    name: str
    holder: str
    fencing: int
    duration_ms: int


@message("store/release-lease")
class ReleaseLease(Command, frozen=True, array_like=True):
    """Release a lease."""

    name: str
    holder: str
    fencing: int


@message("store/claim")
class Claim(Command, frozen=True, array_like=True):
    """Claim an idempotency key before a request is dispatched.

    ``holder`` must be unique to one attempt of one request. After ``run_ms`` milliseconds
    without a report, the claim counts as unknown.
    """

    workspace: str
    key: str
    fingerprint: bytes
    holder: str
    run_ms: int


@message("store/finish-claim")
class FinishClaim(Command, frozen=True, array_like=True):
    """Store the answer of a claimed request, so that a resend receives it."""

    workspace: str
    key: str
    grant: int
    status: int
    content_type: str = ""
    body: bytes = b""


@message("store/report-claim-unknown")
class ReportClaimUnknown(Command, frozen=True, array_like=True):
    """Report that a claimed request may have run, but its answer was lost."""

    workspace: str
    key: str
    grant: int


@message("store/abandon-claim")
class AbandonClaim(Command, frozen=True, array_like=True):
    """Remove a claim; only allowed if the request certainly did not run."""

    workspace: str
    key: str
    grant: int


ResourceCommand: TypeAlias = (
    Create | Replace | Patch | UpdateStatus | Delete | AddFinalizer | RemoveFinalizer
)


def compute_fingerprint(command: Command) -> bytes:
    """Return the stamp's fingerprint, or a hash of the command without its stamp."""
    if command.stamp.fingerprint:
        return command.stamp.fingerprint
    bare = msgspec.structs.replace(command, stamp=Stamp(0))
    name = type(command).__name__.encode()
    return hashlib.sha256(name + b"\0" + encode(bare)).digest()


def stamp_time(command: Command, time_ms: int) -> Command:
    """Return the command with the proposer's time stamp, before it is proposed."""
    stamp = msgspec.structs.replace(command.stamp, time_ms=time_ms)
    return msgspec.structs.replace(command, stamp=stamp)
