"""Read access to the applied configuration, with the lookups of the request path."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

import msgspec

from chivetrack.components.configuration.freshness import Freshness
from chivetrack.components.configuration.key_index import KeyIndex
from chivetrack.components.configuration.models import ConfigurationSettings, WhenUnconfirmed
from chivetrack.components.resources import const as resource_const
from chivetrack.components.resources.keys import check_key, derive_key_id, get_key_id
from chivetrack.components.resources.kinds import KINDS
from chivetrack.components.resources.models import (
    Drain,
    DrainPhase,
    DrainStatus,
    RoutingPolicy,
    Workspace,
)
from chivetrack.components.store.records import Record
from chivetrack.components.store.table import ResourceTable, Subscriber, TableUpdate
from chivetrack.core import Unsubscribe
from chivetrack.exceptions import Fault, Ran

FormT = TypeVar("FormT")

UNCONFIRMED_RETRY_S = 1.0

_DRAIN_STATUS = msgspec.msgpack.Decoder(DrainStatus, strict=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class NamedResource(Generic[FormT]):
    """The compact form of a resource with its name and revision."""

    name: str
    revision: int
    form: FormT


class ConfigView:
    """Reads a table that a follower, or on a replica the store, keeps up to date.

    The request path calls ``check_serving`` first. Until the first confirmation all
    lookups return nothing, whatever the table contains.
    """

    def __init__(
        self, *, table: ResourceTable, settings: ConfigurationSettings, started_at: float
    ) -> None:
        """Read ``table``; ``started_at`` is the start time of this process."""
        self.table = table
        self.freshness = Freshness(started_at=started_at, window_s=settings.confirmation_window_s)
        self._refuses_unconfirmed = settings.when_unconfirmed is WhenUnconfirmed.REFUSE
        self._keys = KeyIndex()
        self._lists: dict[str, tuple[NamedResource[Any], ...]] = {}
        self._drains: tuple[Drain, ...] | None = None
        self._keys.rebuild(table)
        table.subscribe(self._handle_update)

    @property
    def revision(self) -> int:
        """Return the active revision; 0 until the first confirmation."""
        return self.table.revision if self.freshness.is_initialised else 0

    @property
    def confirmed_until(self) -> float:
        """Return when the confirmation expires, on the same clock as ``now``."""
        return self.freshness.confirmed_until

    def is_confirmed(self, now: float) -> bool:
        """Return whether a confirmation that has not expired is satisfied."""
        return now < self.freshness.confirmed_until

    def check_serving(self, now: float) -> Fault | None:
        """Return the fault with which new requests must be refused, or ``None``.

        Before the first confirmation all requests are refused, whatever the setting: the
        table may be older than the configuration that was active here before a restart.
        """
        if self.is_confirmed(now):
            return None
        if self.freshness.is_initialised and not self._refuses_unconfirmed:
            return None
        return Fault(
            code="configuration_unconfirmed",
            message="this router can't confirm that its configuration is the newest",
            status=503,
            ran=Ran.NO,
            retry_after_s=UNCONFIRMED_RETRY_S,
        )

    def adopt(self, assembled: ResourceTable) -> bool:
        """Replace the table unless the given state is older; return whether it was replaced.

        The history is copied too: without it other instances could not pull deltas from
        this one.
        """
        compaction_revision = assembled.compaction_revision
        return self.table.replace(
            assembled.export(),
            revision=assembled.revision,
            compaction_revision=compaction_revision,
            changes=assembled.list_changes(compaction_revision) or (),
        )

    def find_workspace(self, key: str) -> NamedResource[Workspace] | None:
        """Return the workspace that a caller's key belongs to."""
        for name in self._keys.find_names(derive_key_id(key)):
            workspace = self.get_workspace(name)
            if workspace is None:
                continue
            if any(check_key(key, stored) for stored in workspace.form.keys):
                return workspace
        return None

    def get_workspace(self, name: str) -> NamedResource[Workspace] | None:
        """Return a workspace by its name."""
        return self._get("workspace", name)

    def get_policy(self, workspace: Workspace) -> RoutingPolicy:
        """Return the workspace's policy, else the policy ``default``, else built-in defaults."""
        for name in (workspace.policy, resource_const.DEFAULT_POLICY):
            named = self._get("routing_policy", name)
            if named is not None:
                policy: RoutingPolicy = named.form
                return policy
        return RoutingPolicy()

    def list_named(self, kind: str) -> Sequence[NamedResource[Any]]:
        """Return all resources of a kind; the list is cached until one of them changes."""
        if not self.freshness.is_initialised:
            return ()
        listed = self._lists.get(kind)
        if listed is None:
            decoded = (_decode(kind, record) for record in self.table.iterate(kind))
            listed = tuple(named for named in decoded if named is not None)
            self._lists[kind] = listed
        return listed

    def list_drains(self) -> Sequence[Drain]:
        """Return the active drains: started by the drain controller and not cancelled."""
        if not self.freshness.is_initialised:
            return ()
        if self._drains is None:
            named = self.list_named("drain")
            self._drains = tuple(drain.form for drain in named if self._is_active(drain.name))
        return self._drains

    def find_key_owners(self, key_hash: str) -> Sequence[str]:
        """Return the names of the workspaces whose keys include this hash."""
        owners = []
        for name in self._keys.find_names(get_key_id(key_hash)):
            workspace = self.get_workspace(name)
            if workspace is not None and key_hash in workspace.form.keys:
                owners.append(name)
        return owners

    def subscribe(self, subscriber: Subscriber) -> Unsubscribe:
        """Call ``subscriber`` after every change of the table."""
        return self.table.subscribe(subscriber)

    def _is_active(self, name: str) -> bool:
        record = self.table.get("drain", name)
        if record is None or record.deleting_ms or not record.status:
            return False
        return _DRAIN_STATUS.decode(record.status).phase in (DrainPhase.ACTIVE, DrainPhase.DONE)

    def _get(self, kind: str, name: str) -> NamedResource[Any] | None:
        if not self.freshness.is_initialised:
            return None
        record = self.table.get(kind, name)
        return None if record is None else _decode(kind, record)

    def _handle_update(self, update: TableUpdate) -> None:
        self.freshness.mark_applied(update.revision)
        self._drains = None
        if update.is_reset:
            self._lists.clear()
            self._keys.rebuild(self.table)
            return
        for change in update.changes:
            self._lists.pop(change.kind, None)
            if change.kind == "workspace" and change.record is not None:
                self._keys.add(change.record)
        self._keys.rebuild_if_due(self.table)


def _decode(kind: str, record: Record) -> NamedResource[Any] | None:
    form = KINDS[kind].compact.decode(record.spec)
    if form is None:
        return None
    return NamedResource(name=record.name, revision=record.revision, form=form)
