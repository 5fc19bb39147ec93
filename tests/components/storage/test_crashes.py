"""Crashes at random system calls, with a model of the state to be recovered.

For a longer run with different seeds each time: ``CHIVETRACK_FUZZ_EXAMPLES=2000 script/test
tests.components.storage.test_crashes``.
"""

import os
import subprocess
import sys
import tempfile
import unittest
from dataclasses import dataclass, replace
from pathlib import Path
from random import Random, SystemRandom

import msgspec

from chivetrack.components.consensus.members import make_voters
from chivetrack.components.consensus.messages import Entry, EntryKind
from chivetrack.components.consensus.models import HardState, Persist, Recovered, Snapshot
from chivetrack.components.storage import Storage, create_folder, open_storage
from chivetrack.components.storage.exceptions import WriteFailedError
from chivetrack.components.storage.files import SystemCalls
from chivetrack.components.storage.records import Identity

EXAMPLES = int(os.environ.get("CHIVETRACK_FUZZ_EXAMPLES", "0"))
RESTARTS = 12
FIRST = Snapshot(index=1, term=1, members=make_voters("a"))


class CrashingCalls:
    """System calls that fail after ``calls_left`` calls; a failing write is partial."""

    def __init__(self, *, random: Random, calls_left: int) -> None:
        self.random = random
        self.calls_left = calls_left

    def crash(self) -> bool:
        self.calls_left -= 1
        return self.calls_left < 0

    def write(self, descriptor: int, data: bytes) -> int:
        if not self.crash():
            return os.write(descriptor, data)
        os.write(descriptor, data[: self.random.randrange(len(data) + 1)])
        raise OSError("crash")

    def sync(self, descriptor: int) -> None:
        if self.crash():
            raise OSError("crash")


@dataclass(frozen=True, slots=True)
class Model:
    """The expected state on disk, in the form of ``Recovered``."""

    state: Recovered

    @property
    def end(self) -> tuple[int, int]:
        last = self.state.entries[-1:] or (self.state.snapshot,)
        return last[0].index, last[0].term

    def save(self, persist: Persist) -> "Model":
        state = self.state
        if persist.snapshot is not None:
            kept = () if persist.reset else state.entries
            index = persist.snapshot.index
            entries = tuple(one for one in kept if one.index > index)
            state = replace(state, snapshot=persist.snapshot, entries=entries)
        if persist.hard_state is not None:
            state = replace(state, hard_state=persist.hard_state)
        cut = persist.truncate_from
        if cut is not None:
            entries = tuple(one for one in state.entries if one.index < cut)
            state = replace(state, entries=entries)
        return Model(replace(state, entries=state.entries + persist.entries))


def make_persist(model: Model, random: Random) -> Persist:
    """Return a random ``Persist`` that the consensus core might emit next."""
    index, term = model.end
    vote = HardState(term=model.state.hard_state.term + 1, vote=random.choice("abc"))
    term = max(term, vote.term - 1)
    first = index + 1
    kind = random.choice(["append", "append", "append", "replace", "vote", "snapshot", "install"])
    if kind == "vote":
        return Persist(hard_state=vote, last_index=index, last_term=model.end[1])
    if kind == "install":
        taken = Snapshot(index=index + 9, term=vote.term, members=FIRST.members, data=b"installed")
        if random.random() < 0.5 and index - model.state.snapshot.index > 3:
            taken = msgspec.structs.replace(taken, index=index - 2)
        return Persist(
            snapshot=taken,
            hard_state=vote,
            reset=True,
            last_index=taken.index,
            last_term=taken.term,
        )
    if kind == "snapshot" and model.state.entries:
        entry = random.choice(model.state.entries)
        own = Snapshot(index=entry.index, term=entry.term, members=FIRST.members, data=b"own")
        return Persist(snapshot=own, last_index=index, last_term=model.end[1])
    if kind == "replace" and model.state.entries:
        first = random.choice(model.state.entries).index
    count = random.randint(1, 30)
    entries = tuple(
        Entry(
            index=one, term=term, kind=EntryKind.DATA, data=random.randbytes(random.randint(0, 99))
        )
        for one in range(first, first + count)
    )
    cut = first if first <= index else None
    return Persist(entries=entries, truncate_from=cut, last_index=entries[-1].index, last_term=term)


class CrashTest(unittest.TestCase):
    """A crash may lose only unacknowledged changes, each of them completely."""

    def test_histories(self) -> None:
        start = SystemRandom().randrange(2**32) if EXAMPLES else 0
        for seed in range(start, start + (EXAMPLES or 25)):
            with self.subTest(seed=seed), tempfile.TemporaryDirectory() as folder:
                self.run_history(Path(folder) / "data", Random(seed))

    def run_history(self, path: Path, random: Random) -> None:
        identity = Identity(replica_id="a", instance_id="a")
        create_folder(path, identity=identity, snapshot=FIRST)
        model = Model(Recovered(hard_state=HardState(term=1), snapshot=FIRST))
        for _ in range(RESTARTS):
            crashing_calls = CrashingCalls(random=random, calls_left=random.randint(1, 40))
            calls = SystemCalls(write=crashing_calls.write, sync=crashing_calls.sync)
            allowed = [model]
            try:
                with open_storage(path=path, calls=calls) as storage:
                    self.assertEqual(storage.pop_recovered(), model.state)
                    self.write_until_crash(storage, random, allowed)
            except WriteFailedError:
                pass
            with open_storage(path=path) as storage:
                state = storage.pop_recovered()
            self.assertIn(state, [one.state for one in allowed])
            model = Model(state)

    def write_until_crash(self, storage: Storage, random: Random, allowed: list[Model]) -> None:
        """Save until a call fails; ``allowed`` are the states that the next start may find."""
        while True:
            model = allowed[-1]
            group = []
            states = [model]
            for _ in range(random.randint(1, 3)):
                persist = make_persist(states[-1], random)
                group.append(persist)
                if persist.snapshot is not None:
                    # The snapshot file is written, but the frame with the vote is not yet.
                    without_vote = states[-1].save(replace(persist, hard_state=None))
                    term = max(without_vote.state.hard_state.term, persist.snapshot.term)
                    early = without_vote.state.hard_state
                    if term > early.term:
                        early = HardState(term=term)
                    states.append(Model(replace(without_vote.state, hard_state=early)))
                    states.append(states[-2].save(persist))
                else:
                    states.append(states[-1].save(persist))
            allowed[:] = states
            storage.save(group)
            allowed[:] = states[-1:]


WRITER = """
import sys
from pathlib import Path
from chivetrack.components.consensus.messages import Entry, EntryKind
from chivetrack.components.consensus.models import Persist
from chivetrack.components.storage import open_storage

with open_storage(path=Path(sys.argv[1])) as storage:
    for index in range(2, 1_000_000):
        entry = Entry(index=index, term=1, kind=EntryKind.DATA, data=b"%d" % index)
        storage.save([Persist(entries=(entry,), last_index=index, last_term=1)])
        print(index, flush=True)
"""


class KillTest(unittest.TestCase):
    def test_kill_in_the_middle_of_writes(self) -> None:
        """A process reports each write and is killed with SIGKILL. The next process must be
        able to lock the folder at once, and find every write that was reported."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "data"
            identity = Identity(replica_id="a", instance_id="a")
            create_folder(path, identity=identity, snapshot=FIRST)
            command = [sys.executable, "-c", WRITER, str(path)]
            with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as writer:
                assert writer.stdout is not None
                reported = [int(writer.stdout.readline()) for _ in range(60)]
                writer.kill()
                reported += [int(line) for line in writer.stdout if line.endswith("\n")]
            with open_storage(path=path) as storage:
                entries = storage.pop_recovered().entries
            self.assertGreaterEqual(entries[-1].index, reported[-1])
            self.assertEqual([one.data for one in entries], [b"%d" % one.index for one in entries])


if __name__ == "__main__":
    unittest.main()
