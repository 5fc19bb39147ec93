"""Checks that read more than one key; each is entered in a registry."""

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
    """The sections that have no findings of their own; ``None`` for the others."""

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
    """A replica has a data folder, and nobody else has."""
    instance = sections.instance
    if instance is None:
        return
    is_replica = Role.REPLICA in instance.roles
    if is_replica and instance.data_folder is None:
        yield Problem(
            path=("instance", "data_folder"),
            message="is required with role 'replica'",
            hint="name a folder on the disk of this instance",
        )
    if not is_replica and instance.data_folder is not None:
        yield Problem(
            path=("instance", "data_folder"),
            message="is only used with role 'replica'",
            hint="add 'replica' to roles or take the folder out",
        )


@CHECKS.register("roles")
def check_roles(sections: ValidSections) -> Iterator[Problem]:
    """No role is named twice."""
    instance = sections.instance
    if instance is not None and len(set(instance.roles)) != len(instance.roles):
        yield Problem(path=("instance", "roles"), message="names a role twice")


@CHECKS.register("listener-addresses")
def check_listener_addresses(sections: ValidSections) -> Iterator[Problem]:
    """Listeners differ, and those that others connect to can be reached."""
    listeners = sections.listeners
    if listeners is None:
        return
    seen: dict[Address, str] = {}
    for name in LISTENERS:
        address: Address = getattr(listeners, name)
        if name in ("resources", "peer") and ipaddress.ip_address(address.host).is_unspecified:
            yield Problem(
                path=("listeners", name),
                message=f"{address.host} is not an address that other instances reach",
                hint="name the IP number of this instance",
            )
        if address.port and address in seen:
            yield Problem(
                path=("listeners", name),
                message=f"{address} is taken by listeners.{seen[address]}",
            )
        seen.setdefault(address, name)


@CHECKS.register("replica-members")
def check_replica_members(sections: ValidSections) -> Iterator[Problem]:
    """First members differ in id and address."""
    if sections.replicas is None:
        return
    members = sections.replicas.initial
    yield from _find_repeats(("replicas", "initial"), "id", [m.id for m in members])
    addresses = [str(m.address) for m in members]
    yield from _find_repeats(("replicas", "initial"), "address", addresses)
    for index, member in enumerate(members):
        if member.address.port == 0:
            yield Problem(
                path=("replicas", "initial", index, "address"),
                message="needs a port that the others can connect to",
            )


@CHECKS.register("tls")
def check_tls(sections: ValidSections) -> Iterator[Problem]:
    """Every listener has its files, or plain text is accepted in so many words."""
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
    """Refuse ``enabled = false`` alone: one slip of the hand must not open a listener."""
    if not tls.plain_text_accepted:
        yield Problem(
            path=("tls", "plain_text_accepted"),
            message="must be true when enabled is false",
            hint="keys and content then cross the network in plain text",
        )


@CHECKS.register("key-names")
def check_key_names(sections: ValidSections) -> Iterator[Problem]:
    """Key holders differ in name, and no key serves two of them."""
    if sections.operators is not None:
        yield from _check_keys("operators", sections.operators.keys)
    if sections.announcers is not None:
        yield from _check_keys("announcers", sections.announcers.keys)


def _check_keys(section: str, keys: Iterable[HashedKey]) -> Iterator[Problem]:
    held = list(keys)
    yield from _find_repeats((section, "keys"), "name", [key.name for key in held])
    yield from _find_repeats((section, "keys"), "hash", [key.hash for key in held])


@CHECKS.register("stop")
def check_stop(sections: ValidSections) -> Iterator[Problem]:
    """The settle time leaves time to finish what is in flight."""
    stop = sections.stop
    if stop is not None and stop.settle_s >= stop.deadline_s:
        yield Problem(
            path=("stop", "deadline_s"),
            message="must be longer than settle_s, or nothing in flight could finish",
        )


def _find_repeats(path: KeyPath, name: str, values: list[str]) -> Iterator[Problem]:
    first: dict[str, int] = {}
    for index, value in enumerate(values):
        if value in first:
            yield Problem(
                path=(*path, index, name), message=f"is the same as in entry {first[value] + 1}"
            )
        first.setdefault(value, index)
