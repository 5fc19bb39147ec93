"""TLS of every listener, from the settings."""

from dataclasses import dataclass

from expression import Error, Ok, Result

from chivetrack.components.settings import Settings
from chivetrack.components.settings.models import ListenerTls
from chivetrack.helpers.finding import Findings
from chivetrack.helpers.tls import Tls, TlsFiles, open_tls

LISTENER_NAMES = ("caller", "resources", "peer", "telemetry")


@dataclass(frozen=True, slots=True, kw_only=True)
class Encryption:
    """The TLS of each listener by its name; empty when plain text was accepted."""

    listeners: dict[str, Tls]

    def get(self, name: str) -> Tls | None:
        """Return the TLS of a listener."""
        return self.listeners.get(name)

    def check(self) -> None:
        """Take up files that have changed."""
        for tls in self.listeners.values():
            tls.check()


def open_encryption(settings: Settings) -> Result[Encryption, Findings]:
    """Load the files of all listeners; all faults are reported together."""
    if not settings.tls.enabled:
        return Ok(Encryption(listeners={}))
    findings = Findings()
    listeners: dict[str, Tls] = {}
    for name in LISTENER_NAMES:
        files = getattr(settings.tls, name)
        if files is None:
            continue
        opened = open_tls(_to_files(files))
        if opened.is_ok():
            listeners[name] = opened.ok
            continue
        for finding in opened.error:
            findings.add(f"tls.{name}: {finding.place}", finding.message, hint=finding.hint)
    if len(findings):
        return Error(findings)
    return Ok(Encryption(listeners=listeners))


def _to_files(files: ListenerTls) -> TlsFiles:
    return TlsFiles(
        certificate_file=files.certificate_file, key_file=files.key_file, ca_file=files.ca_file
    )
