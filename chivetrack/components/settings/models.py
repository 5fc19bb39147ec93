"""The validated models of the settings file, one per section."""

from enum import StrEnum
from pathlib import Path
from typing import Annotated

from pydantic import Field, StrictBool, StrictFloat, StrictInt

from chivetrack.components.memory.const import DEFAULT_MAX_DESCRIPTORS, DEFAULT_MEMORY_MB
from chivetrack.components.settings import const
from chivetrack.helpers.log import LogFormat
from chivetrack.helpers.sections.base import AddressField, Section
from chivetrack.helpers.sections.values import Address as Address
from chivetrack.helpers.sections.values import LogLevel

Name = Annotated[str, Field(pattern=const.NAME_PATTERN, max_length=const.MAX_NAME_LENGTH)]
KeyHash = Annotated[str, Field(pattern=const.KEY_HASH_PATTERN)]


class Role(StrEnum):
    """What an instance does in the fleet."""

    ROUTER = "router"
    REPLICA = "replica"


class WhenUnconfirmed(StrEnum):
    """What a router does while it cannot confirm that its configuration is current."""

    REFUSE = "refuse"
    SERVE = "serve"


class InstanceSettings(Section):
    """What this instance is and where it stands."""

    id: Name = Field(description="Name of this instance, unique in the fleet.")
    region: Name = Field(description="Region in which this instance runs.")
    availability_zone: Name = Field(
        description="Availability zone in which this instance runs, unique across regions."
    )
    roles: tuple[Role, ...] = Field(
        default=(Role.ROUTER,),
        min_length=1,
        description="`router` takes requests; `replica` holds the durable state on its disk.",
    )
    data_folder: Path | None = Field(
        default=None,
        description="The one folder under which this instance writes. "
        "Required with role `replica`, refused without it.",
    )


class ListenerSettings(Section):
    """Addresses on which this instance listens: an IP number and a port, port 0 to choose."""

    caller: AddressField = Field(description="Requests of callers, health and readiness.")
    resources: AddressField = Field(
        description="Resource API for operators and announcements of endpoints. "
        "Other instances forward to it, so it must be an address that they reach."
    )
    peer: AddressField = Field(
        description="gRPC between instances. Must be an address that the others reach."
    )
    telemetry: AddressField = Field(description="Metrics in the Prometheus form.")
    peer_advertised: AddressField | None = Field(
        default=None,
        description="Address that the others are told instead of `peer`, where something "
        "between the instances translates addresses.",
    )


class PeerSettings(Section):
    """How this instance finds the others."""

    seeds: tuple[AddressField, ...] = Field(
        default=(),
        description="Peer addresses of some other instances, asked for the rest at the start. "
        "Name at least two in different availability zones.",
    )


class ReplicaMember(Section):
    """One first member of the replicated log."""

    id: Name = Field(description="Instance id of the replica.")
    address: AddressField = Field(description="Its peer address.")


class ReplicaSettings(Section):
    """The replicas that hold the durable state."""

    initial: tuple[ReplicaMember, ...] = Field(
        default=(),
        max_length=const.MAX_REPLICAS,
        description="First members of the replicated log, the same list on every instance. "
        "Read only while no log exists yet; later changes go by `chivetrack replica add` and "
        "`chivetrack replica remove`.",
    )


class ListenerTls(Section):
    """The files of one listener, in PEM form; read again when they change."""

    certificate_file: Path = Field(description="Certificate chain of this instance.")
    key_file: Path = Field(description="Private key of the certificate.")
    ca_file: Path | None = Field(
        default=None,
        description="Authorities whose client certificates are accepted. "
        "Required for `peer` (mutual TLS); on other listeners clients then need one too.",
    )


class TlsSettings(Section):
    """Encryption of every listener. Off only when `plain_text_accepted` says so too."""

    enabled: StrictBool = Field(default=True, description="Whether every listener uses TLS.")
    plain_text_accepted: StrictBool = Field(
        default=False,
        description="Must be true when `enabled` is false: keys and content of callers "
        "then cross the network readable by anyone on it.",
    )
    caller: ListenerTls | None = Field(default=None, description="Files of the caller listener.")
    resources: ListenerTls | None = Field(
        default=None, description="Files of the resource listener."
    )
    peer: ListenerTls | None = Field(
        default=None, description="Files of the peer listener, used as a client too."
    )
    telemetry: ListenerTls | None = Field(
        default=None, description="Files of the telemetry listener."
    )


class HashedKey(Section):
    """One key, kept as its hash; `chivetrack key make` prints both."""

    name: Name = Field(description="Who holds the key; appears in logs and audit fields.")
    hash: KeyHash = Field(description="`sha256:` and 64 hexadecimal digits.", repr=False)


class OperatorSettings(Section):
    """Who may use the resource API."""

    keys: tuple[HashedKey, ...] = Field(
        default=(),
        description="Keys of operators. Several at a time allow a change of keys without a gap.",
    )


class AnnouncerSettings(Section):
    """Who may announce endpoints."""

    keys: tuple[HashedKey, ...] = Field(
        default=(),
        description="Keys of announcers. Empty: announcements need no key.",
    )


class LimitSettings(Section):
    """What one request and one instance may take up."""

    max_body_bytes: StrictInt = Field(
        default=const.DEFAULT_MAX_BODY_BYTES, gt=0, description="Largest request body, in bytes."
    )
    max_header_bytes: StrictInt = Field(
        default=const.DEFAULT_MAX_HEADER_BYTES,
        ge=1024,
        description="Largest sum of the header lines of a request, in bytes.",
    )
    max_headers: StrictInt = Field(
        default=const.DEFAULT_MAX_HEADERS, ge=10, description="Most header lines of a request."
    )
    memory_mb: StrictInt = Field(
        default=DEFAULT_MEMORY_MB,
        ge=64,
        description="Memory of the machine, in MB; the connections of all listeners together "
        "get half of it.",
    )
    max_descriptors: StrictInt = Field(
        default=DEFAULT_MAX_DESCRIPTORS,
        ge=256,
        description="File descriptors; three quarters of them, or of what the system allows, "
        "are for connections that others open.",
    )
    default_deadline_s: StrictFloat = Field(
        default=const.DEFAULT_DEADLINE_S,
        gt=0,
        le=const.MAX_DEADLINE_S,
        description="Time for a request that names no deadline, in seconds.",
    )
    max_streams: StrictInt = Field(
        default=const.DEFAULT_MAX_STREAMS,
        gt=0,
        description="Most requests in flight on this instance, streams included.",
    )


class StopSettings(Section):
    """A graceful stop."""

    settle_s: StrictFloat = Field(
        default=const.DEFAULT_SETTLE_S,
        ge=0,
        description="Time between turning unready and refusing connections, in seconds: "
        "longer than the balancer takes to notice.",
    )
    deadline_s: StrictFloat = Field(
        default=const.DEFAULT_STOP_DEADLINE_S,
        gt=0,
        description="Time after which a stop cuts what is still in flight, in seconds, "
        "counted from the signal.",
    )


class ConfigurationSettings(Section):
    """How a router treats configuration that it cannot confirm."""

    confirm_within_s: StrictFloat = Field(
        default=const.DEFAULT_CONFIRM_WITHIN_S,
        gt=0,
        description="Time without a confirmation after which the configuration counts as "
        "unconfirmed, in seconds.",
    )
    when_unconfirmed: WhenUnconfirmed = Field(
        default=WhenUnconfirmed.REFUSE,
        description="`refuse`: unready, and requests are refused as not run. "
        "`serve`: goes on with the last configuration.",
    )


class ControlSettings(Section):
    """Traffic between the instances."""

    budget_bytes_per_s: StrictInt = Field(
        default=const.DEFAULT_CONTROL_BYTES_PER_S,
        ge=const.MIN_CONTROL_BYTES_PER_S,
        le=const.MAX_CONTROL_BYTES_PER_S,
        description="Most control traffic that this instance sends, in bytes a second.",
    )


class LogSettings(Section):
    """Logs, written to stderr."""

    level: LogLevel = Field(default=LogLevel.INFO, description="Least important level written.")
    format: LogFormat = Field(
        default=LogFormat.TEXT, description="`text` or one JSON object a line."
    )


class TelemetrySettings(Section):
    """Metrics and traces."""

    prometheus: StrictBool = Field(
        default=True, description="Whether the telemetry listener answers `/metrics`."
    )
    otlp_endpoint: str = Field(
        default="",
        pattern=const.URL_PATTERN,
        description="Base URL of an OTLP collector over HTTP, such as `http://10.0.0.9:4318`. "
        "Empty: nothing is sent and no traces are recorded.",
    )
    sample_ratio: StrictFloat = Field(
        default=const.DEFAULT_SAMPLE_RATIO,
        ge=0,
        le=1,
        description="Share of requests that are traced when the caller did not decide, 0 to 1.",
    )


class Settings(Section):
    """All settings of one daemon."""

    instance: InstanceSettings
    listeners: ListenerSettings
    peers: PeerSettings = PeerSettings()
    replicas: ReplicaSettings = ReplicaSettings()
    tls: TlsSettings = TlsSettings()
    operators: OperatorSettings = OperatorSettings()
    announcers: AnnouncerSettings = AnnouncerSettings()
    limits: LimitSettings = LimitSettings()
    stop: StopSettings = StopSettings()
    configuration: ConfigurationSettings = ConfigurationSettings()
    control: ControlSettings = ControlSettings()
    log: LogSettings = LogSettings()
    telemetry: TelemetrySettings = TelemetrySettings()
