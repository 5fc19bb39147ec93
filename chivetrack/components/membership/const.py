"""Constants of membership."""

from typing import Final

TOPIC_INSTANCE: Final = "instance"
TOPIC_VERDICT: Final = "verdict"
TOPIC_ALIVE: Final = "alive"
TOPIC_REGION: Final = "region"
FLEET_TOPICS: Final = frozenset({TOPIC_REGION})

TICK_S: Final = 0.25
ALIVE_INTERVAL_S: Final = 1.0

# An instance is suspected once it has sent no heartbeat for SUSPECT_AFTER_S, or for
# SUSPECT_AFTER_MEAN_GAPS times its mean gap between heartbeats if that is longer.
SUSPECT_AFTER_S: Final = 2.5
SUSPECT_AFTER_MEAN_GAPS: Final = 8.0
MAX_SUSPECT_AFTER_S: Final = 10.0
GAP_SMOOTHING_FACTOR: Final = 0.1
INITIAL_MEAN_GAP_S: Final = 0.5

# All members notice a missing heartbeat at about the same time. Each waits a random time,
# up to this value times the number of members, before it probes; meanwhile most receive
# the verdict of another member and need not probe.
PROBE_JITTER_PER_MEMBER_S: Final = 0.1
MAX_PROBE_JITTER_S: Final = 4.0
MAX_PROBE_ROUNDS: Final = 3

# After its start an instance suspects no one for START_GRACE_S plus START_GRACE_PER_MEMBER_S
# for each member. While many instances start at once, their records delay the heartbeats.
START_GRACE_S: Final = 5.0
START_GRACE_PER_MEMBER_S: Final = 0.7

WITNESSES_PER_ROUND: Final = 3
REQUIRED_DENIALS: Final = 2
PROBE_TIMEOUT_S: Final = 0.6
PROBE_ROUND_S: Final = 1.5
DIRECT_CONTACT_S: Final = 0.5

# A gap between two events of this component from which on the process counts as frozen.
FROZEN_AFTER_S: Final = 1.5

CONTACT_ABSENT_INTERVAL_S: Final = 3.0
MAX_ABSENT_CONTACTS: Final = 2
NOTICE_INTERVAL_S: Final = 1.0
REMOVE_GONE_AFTER_S: Final = 120.0
SUMMARY_INTERVAL_S: Final = 5.0
SUMMARY_LEASE_S: Final = 60.0
SUMMARY_CONTACTS: Final = 3
