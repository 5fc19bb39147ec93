"""The configuration of one instance: combines view, follower and publisher."""

import random
from collections.abc import Iterable

from chivetrack.components.configuration.follower import ConfigFollower
from chivetrack.components.configuration.messages import RouterAck
from chivetrack.components.configuration.models import (
    ConfigChanged,
    ConfigurationSettings,
    RolloutStatus,
)
from chivetrack.components.configuration.publisher import ConfigPublisher
from chivetrack.components.configuration.view import ConfigView
from chivetrack.components.store.table import ResourceTable
from chivetrack.core import Effect, Event


class Configuration:
    """Keeps the configuration of one instance current and serves it to other instances.

    Pass every event to ``handle``; events of other components are ignored. On a replica
    ``store_table`` is the table of the store, and only the store writes to it: pass
    ``ConfigChanged`` after the store has applied entries.
    """

    def __init__(
        self,
        *,
        instance: str,
        incarnation: int,
        settings: ConfigurationSettings,
        started_at: float,
        rng: random.Random,
        store_table: ResourceTable | None = None,
    ) -> None:
        """Start unconfirmed; ``started_at`` is on the same clock as ``now``."""
        self._instance = instance
        self._incarnation = incarnation
        table = store_table if store_table is not None else ResourceTable()
        self.view = ConfigView(table=table, settings=settings, started_at=started_at)
        self.publisher = ConfigPublisher(view=self.view, settings=settings)
        self.follower = ConfigFollower(
            instance=instance,
            incarnation=incarnation,
            view=self.view,
            acknowledgements=self.publisher.acknowledgements,
            settings=settings,
            rng=rng,
            applies_changes=store_table is None,
        )

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Handle one event; changes that the follower applies are published immediately."""
        before = self.view.revision
        effects = self.publisher.handle(event, now=now)
        effects.extend(self.follower.handle(event, now=now))
        if self.view.revision > before:
            effects.extend(self.publisher.handle(ConfigChanged(), now=now))
        return effects

    def compute_rollout_status(
        self, expected: Iterable[str], *, now: float, revision: int | None = None
    ) -> RolloutStatus:
        """Return, on the leader, which routers applied a revision (default: the newest)."""
        acknowledgements = self.publisher.acknowledgements
        own = RouterAck(self._instance, self._incarnation, self.view.revision)
        acknowledgements.record_acks([own], now=now)
        target = self.view.table.revision if revision is None else revision
        return acknowledgements.compute_rollout_status(target, expected, now=now)
