"""TLS contexts from files, reloaded without a restart when the files change.

The certificate of an instance must contain its IP address, since instances connect by IP.
"""

import hashlib
import socket
import ssl
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import grpc
from expression import Error, Ok, Result

from chivetrack.core import Unsubscribe
from chivetrack.helpers.finding import Findings
from chivetrack.helpers.handshakes import HandshakeError
from chivetrack.helpers.log import get_logger

RELOAD_INTERVAL_S: Final = 30.0
HANDSHAKE_TIMEOUT_S: Final = 10.0

_LOGGER = get_logger("tls")


@dataclass(frozen=True, slots=True, kw_only=True)
class TlsFiles:
    """The PEM files of one listener; with a ``ca_file``, clients need a certificate too."""

    certificate_file: Path
    key_file: Path
    ca_file: Path | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class _Content:
    """The content of the files, read at one time."""

    certificate: bytes = field(repr=False)
    key: bytes = field(repr=False)
    ca: bytes | None = field(repr=False)

    @property
    def digest(self) -> bytes:
        parts = (self.certificate, self.key, self.ca or b"")
        return hashlib.sha256(b"".join(hashlib.sha256(part).digest() for part in parts)).digest()


@dataclass(frozen=True, slots=True, kw_only=True)
class _LoadedContexts:
    """Content whose certificate and key match, and the contexts made from it."""

    content: _Content
    server_context: ssl.SSLContext
    client_context: ssl.SSLContext


def open_tls(files: TlsFiles) -> Result["Tls", Findings]:
    """Load the files; the error side says which file is unusable and why."""
    return _load(files).map(lambda loaded: Tls(files=files, loaded=loaded))


class Tls:
    """The certificate, key and authorities in use.

    The owner calls ``check`` periodically through the timer service.
    """

    def __init__(self, *, files: TlsFiles, loaded: _LoadedContexts) -> None:
        """Initialize with files that ``open_tls`` has loaded."""
        self._files = files
        self._loaded = loaded
        self._refused_digest: bytes | None = None
        self._callbacks: list[Callable[[], None]] = []

    @property
    def server_context(self) -> ssl.SSLContext:
        """Return the context for connections accepted from now on."""
        return self._loaded.server_context

    @property
    def client_context(self) -> ssl.SSLContext:
        """Return the context for connections opened from now on.

        Callers must not store it, since a reload replaces it.
        """
        return self._loaded.client_context

    def wrap_socket(self, sock: socket.socket, **options: Any) -> ssl.SSLSocket:
        """Wrap an accepted socket, as ``ssl.SSLContext.wrap_socket`` does.

        With this method the object can be used as the ``ssl_context`` of a server. The
        handshake has a timeout: each client that connects and sends nothing would otherwise
        occupy a greenlet and a socket until none are left.
        """
        timeout = sock.gettimeout()
        sock.settimeout(HANDSHAKE_TIMEOUT_S)
        try:
            wrapped = self._loaded.server_context.wrap_socket(sock, **options)
        except OSError as error:
            sock.close()
            raise HandshakeError(_describe(error)) from error
        wrapped.settimeout(timeout)
        return wrapped

    def subscribe(self, callback: Callable[[], None]) -> Unsubscribe:
        """Call ``callback`` after each reload, for example to reopen gRPC channels."""
        self._callbacks.append(callback)
        return lambda: self._callbacks.remove(callback)

    def check(self, now: float = 0.0) -> Findings:
        """Reload the files if they changed; return and log what is wrong with them.

        The content is compared and not the modification time, which copies may preserve.
        Between the replacement of the certificate and that of the key, the two do not match
        for a moment. Such a pair would fail every connection until the next check, so the
        old pair stays in use until a matching new one is found.
        """
        content = _read_content(self._files)
        if content.is_ok() and content.ok.digest == self._loaded.content.digest:
            self._refused_digest = None
            return Findings()
        loaded = _load(self._files)
        if loaded.is_error():
            self._report(loaded.error, content)
            return loaded.error
        self._loaded = loaded.ok
        self._refused_digest = None
        _LOGGER.info("Loaded a new certificate from {}.", self._files.certificate_file)
        for callback in list(self._callbacks):
            callback()
        return Findings()

    def _report(self, findings: Findings, content: Result[_Content, Findings]) -> None:
        """Log findings, once for each unusable content and not at every check."""
        digest = content.ok.digest if content.is_ok() else b""
        if digest == self._refused_digest:
            return
        self._refused_digest = digest
        for finding in findings:
            _LOGGER.error("New TLS files are not used, the old ones stay in use: {}.", finding)

    def create_grpc_server_credentials(self) -> grpc.ServerCredentials:
        """Return credentials that use the current certificate at every handshake."""
        return grpc.dynamic_ssl_server_credentials(
            self._create_grpc_configuration(),
            self._create_grpc_configuration,
            require_client_authentication=self._files.ca_file is not None,
        )

    def create_grpc_channel_credentials(self) -> grpc.ChannelCredentials:
        """Return credentials for a new channel; a reload does not change them."""
        content = self._loaded.content
        return grpc.ssl_channel_credentials(content.ca, content.key, content.certificate)

    def _create_grpc_configuration(self) -> grpc.ServerCertificateConfiguration:
        content = self._loaded.content
        return grpc.ssl_server_certificate_configuration(
            [(content.key, content.certificate)], root_certificates=content.ca
        )


def _read_content(files: TlsFiles) -> Result[_Content, Findings]:
    findings = Findings()
    certificate = _read_file(files.certificate_file, findings)
    key = _read_file(files.key_file, findings)
    ca = None if files.ca_file is None else _read_file(files.ca_file, findings)
    if len(findings):
        return Error(findings)
    return Ok(_Content(certificate=certificate, key=key, ca=ca))


def _read_file(path: Path, findings: Findings) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        findings.add(str(path), f"cannot be read: {error.strerror}")
        return b""


def _load(files: TlsFiles) -> Result[_LoadedContexts, Findings]:
    content = _read_content(files)
    if content.is_error():
        return Error(content.error)
    findings = Findings()
    server_context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    client_context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    for context in (server_context, client_context):
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        if not len(findings):
            _load_into_context(context, files, content.ok, findings)
    if files.ca_file is not None:
        server_context.verify_mode = ssl.CERT_REQUIRED
    else:
        client_context.load_default_certs()
    if not len(findings) and _read_content(files).map(lambda again: again.digest) != Ok(
        content.ok.digest
    ):
        findings.add(str(files.certificate_file), "is being replaced at this moment")
    if len(findings):
        return Error(findings)
    return Ok(
        _LoadedContexts(
            content=content.ok, server_context=server_context, client_context=client_context
        )
    )


def _load_into_context(
    context: ssl.SSLContext, files: TlsFiles, content: _Content, findings: Findings
) -> None:
    try:
        # Without a password, the library would ask for the pass phrase of an encrypted key
        # at the terminal and wait.
        context.load_cert_chain(files.certificate_file, files.key_file, password=lambda: b"")
    except (ssl.SSLError, OSError, ValueError) as error:
        findings.add(
            f"{files.certificate_file}, {files.key_file}",
            f"are no usable pair: {_describe(error)}",
            hint="both in PEM form, the key without a pass phrase, and of the same certificate",
        )
    if content.ca is None:
        return
    try:
        context.load_verify_locations(cadata=content.ca.decode("ascii"))
    except (ssl.SSLError, ValueError) as error:
        findings.add(str(files.ca_file), f"holds no usable authorities: {_describe(error)}")


def _describe(error: Exception) -> str:
    if isinstance(error, ssl.SSLError) and error.reason:
        return error.reason.lower().replace("_", " ")
    return str(error)
