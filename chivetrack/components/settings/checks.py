"""Checks that compare several settings; each one is registered in ``CHECKS``."""

import ipaddress
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from chivetrack.components.settings.models import (
    AnnouncerSettings,
    HashedKey,
    InstanceSettings,
    ListenerSettings,
    OperatorSettings,
    ReplicaSettings,
    Role,
    StopSettings,
    TlsSettings,
)
from chivetrack.helpers.registry import Registry
from chivetrack.helpers.sections.line_index import KeyPath
from chivetrack.helpers.sections.text import Problem
from chivetrack.helpers.sections.values import Address

LISTENERS = ("caller", "resources", "peer", "telemetry")


@dataclass(frozen=True, slots=True, kw_only=True)
class ValidSections:
    """The sections that are valid by themselves; ``None`` for a section with findings."""

    instance: InstanceSettings | None = None
    listeners: ListenerSettings | None = None
    replicas: ReplicaSettings | None = None
    tls: TlsSettings | None = None
    operators: OperatorSettings | None = None
    announcers: AnnouncerSettings | None = None
    stop: StopSettings | None = None


Check = Callable[[ValidSections], Iterator[Problem]]

CHECKS: Registry[Check] = Registry(name="settings check")


@CHECKS.register("data-folder")
def check_data_folder(sections: ValidSections) -> Iterator[Problem]:
    """Require a data folder for the role ``replica`` and refuse it for other instances."""
    instance = sections.instance
    if instance is None:
        return
    is_replica = Role.REPLICA in instance.roles
    if is_replica and instance.data_folder is None:
        yield Problem(
            path=("instance", "data_folder"),
            message="is required with role 'replica'",
            hint="set a folder on the disk of this instance",
        )
    if not is_replica and instance.data_folder is not None:
        yield Problem(
            path=("instance", "data_folder"),
            message="is only used with role 'replica'",
            hint="add 'replica' to roles or remove data_folder",
        )


@CHECKS.register("roles")
def check_roles(sections: ValidSections) -> Iterator[Problem]:
    """Refuse a role that is listed twice."""
    instance = sections.instance
    if instance is not None and len(set(instance.roles)) != len(instance.roles):
        yield Problem(path=("instance", "roles"), message="lists a role twice")


@CHECKS.register("listener-addresses")
def check_listener_addresses(sections: ValidSections) -> Iterator[Problem]:
    """Require distinct listener addresses that other instances can connect to."""
    listeners = sections.listeners
    if listeners is None:
        return
    seen: dict[Address, str] = {}
    for name in LISTENERS:
        address: Address = getattr(listeners, name)
        if name in ("resources", "peer") and ipaddress.ip_address(address.host).is_unspecified:
            yield Problem(
                path=("listeners", name),
                message=f"{address.host} is not an address that other instances can reach",
                hint="set the IP number of this instance",
            )
        if address.port and address in seen:
            yield Problem(
                path=("listeners", name),
                message=f"{address} is already used by listeners.{seen[address]}",
            )
        seen.setdefault(address, name)


@CHECKS.register("replica-members")
def check_replica_members(sections: ValidSections) -> Iterator[Problem]:
    """Require initial replicas with distinct ids and addresses, and with a port."""
    if sections.replicas is None:
        return
    members = sections.replicas.initial
    yield from _find_duplicates(("replicas", "initial"), "id", [m.id for m in members])
    addresses = [str(m.address) for m in members]
    yield from _find_duplicates(("replicas", "initial"), "address", addresses)
    for index, member in enumerate(members):
        if member.address.port == 0:
            yield Problem(
                path=("replicas", "initial", index, "address"),
                message="needs a port that the others can connect to",
            )


@CHECKS.register("tls")
def check_tls(sections: ValidSections) -> Iterator[Problem]:
    """Require a certificate for every listener, unless plain text is accepted explicitly."""
    tls = sections.tls
    if tls is None:
        return
    if not tls.enabled:
        yield from _check_plain_text(tls)
        return
    for name in LISTENERS:
        if getattr(tls, name) is None:
            yield Problem(
                path=("tls", name),
                message="is missing: TLS is on and this listener has no certificate",
                hint="or set enabled = false and plain_text_accepted = true",
            )
    if tls.peer is not None and tls.peer.ca_file is None:
        yield Problem(
            path=("tls", "peer", "ca_file"),
            message="is required: instances check each other's certificates",
        )


def _check_plain_text(tls: TlsSettings) -> Iterator[Problem]:
    """Refuse ``enabled = false`` alone: one mistaken edit must not disable encryption."""
    if not tls.plain_text_accepted:
        yield Problem(
            path=("tls", "plain_text_accepted"),
            message="must be true when enabled is false",
            hint="keys and content then cross the network in plain text",
        )


@CHECKS.register("key-names")
def check_key_names(sections: ValidSections) -> Iterator[Problem]:
    """Refuse two keys with the same name or the same hash in one section."""
    if sections.operators is not None:
        yield from _check_keys("operators", sections.operators.keys)
    if sections.announcers is not None:
        yield from _check_keys("announcers", sections.announcers.keys)


def _check_keys(section: str, keys: Iterable[HashedKey]) -> Iterator[Problem]:
    listed = list(keys)
    yield from _find_duplicates((section, "keys"), "name", [key.name for key in listed])
    yield from _find_duplicates((section, "keys"), "hash", [key.hash for key in listed])


@CHECKS.register("stop")
def check_stop(sections: ValidSections) -> Iterator[Problem]:
    """Require a settle time that leaves time to finish requests in flight."""
    stop = sections.stop
    if stop is not None and stop.settle_s >= stop.deadline_s:
        yield Problem(
            path=("stop", "deadline_s"),
            message="must be longer than settle_s, or nothing in flight could finish",
        )


def _find_duplicates(path: KeyPath, name: str, values: list[str]) -> Iterator[Problem]:
    first: dict[str, int] = {}
    for index, value in enumerate(values):
        if value in first:
            yield Problem(
                path=(*path, index, name), message=f"is the same as in entry {first[value] + 1}"
            )
        first.setdefault(value, index)
