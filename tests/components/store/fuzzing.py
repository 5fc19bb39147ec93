"""Settings of the fuzz tests, which are deterministic by default.

A longer random run:
CHIVETRACK_FUZZ_EXAMPLES=5000 script/test tests.components.store.test_store_fuzz
"""

import os

from hypothesis import HealthCheck, settings


def make_settings(examples: int, steps: int = 40) -> settings:
    override = os.environ.get("CHIVETRACK_FUZZ_EXAMPLES")
    return settings(
        max_examples=int(override) if override else examples,
        stateful_step_count=steps,
        derandomize=override is None,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
