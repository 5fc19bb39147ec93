"""TLS from files: refused files, reload without a restart, mutual TLS."""

import contextlib
import fcntl
import os
import socket
import ssl
import subprocess
import sys
import tempfile
import termios
import threading
import unittest
from concurrent import futures
from pathlib import Path
from unittest import mock

import grpc

from chivetrack.helpers import tls as tls_module
from chivetrack.helpers.tls import HandshakeError, Tls, TlsFiles, open_tls
from chivetrack.proto import peer_pb2, peer_pb2_grpc
from tests.helpers.certificates import Authority, write_files

HANG_TIMEOUT_S = 20.0
ROOT = Path(__file__).resolve().parents[2]
UNAVAILABLE = grpc.StatusCode.UNAVAILABLE


class TlsCase(unittest.TestCase):
    authority: Authority
    other: Authority

    @classmethod
    def setUpClass(cls) -> None:
        cls.authority = Authority("first")
        cls.other = Authority("second")

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.pair = self.authority.issue()
        self.files = write_files(self.folder, self.pair, self.authority.pem)

    def open(self, files: TlsFiles | None = None) -> Tls:
        return open_tls(files or self.files).default_with(lambda found: self.fail(list(found)))


class FileFaultTest(TlsCase):
    def test_each_fault_names_its_file(self) -> None:
        other_key = self.authority.issue().key
        table = [
            ("cert.pem", None, "No such file"),
            ("key.pem", None, "No such file"),
            ("ca.pem", None, "No such file"),
            ("cert.pem", b"", "no usable pair"),
            ("key.pem", b"garbage", "no usable pair"),
            ("key.pem", other_key, "key values mismatch"),
            ("key.pem", self.pair.encrypted_key, "without a pass phrase"),
            ("cert.pem", self.pair.certificate[:200], "no usable pair"),
            ("ca.pem", b"garbage", "no usable authorities"),
            ("ca.pem", b"\xff", "no usable authorities"),
        ]
        for name, content, message in table:
            with self.subTest(name=name, message=message):
                write_files(self.folder, self.pair, self.authority.pem)
                if content is None:
                    (self.folder / name).unlink()
                else:
                    (self.folder / name).write_bytes(content)
                found = [str(finding) for finding in open_tls(self.files).error]
                self.assertEqual(len(found), 1, found)
                self.assertIn(name, found[0])
                self.assertIn(message, found[0])

    def test_encrypted_key_does_not_wait_at_the_terminal(self) -> None:
        """Guards against a daemon that waits for a pass phrase at its terminal.

        The key has a pass phrase and the process was started at a terminal. The library
        would ask there and wait, at the start or, worse, during a reload.
        """
        self.files.key_file.write_bytes(self.pair.encrypted_key)
        program = (
            "import sys; from pathlib import Path; from chivetrack.helpers.tls import *\n"
            "a, b = map(Path, sys.argv[1:])\n"
            "sys.exit(3 if open_tls(TlsFiles(certificate_file=a, key_file=b)).is_error() else 0)"
        )
        arguments = (str(self.files.certificate_file), str(self.files.key_file))
        terminal, process_end = os.openpty()
        self.addCleanup(os.close, terminal)
        process = subprocess.Popen(
            [sys.executable, "-c", program, *arguments],
            stdin=process_end,
            stdout=process_end,
            stderr=process_end,
            cwd=ROOT,
            start_new_session=True,
            preexec_fn=lambda: fcntl.ioctl(0, termios.TIOCSCTTY, 0),
        )
        os.close(process_end)
        self.addCleanup(process.kill)
        self.assertEqual(process.wait(HANG_TIMEOUT_S), 3)

    def test_file_replaced_while_it_is_read(self) -> None:
        """Guards against contexts and gRPC credentials made from different files.

        The certificate is replaced after its content was read and before the library reads
        it again by its path. Two listeners of one instance would then present different
        certificates. The pair is refused instead and loaded at the next check.
        """
        next_pair = self.authority.issue()
        real = ssl.SSLContext.load_cert_chain

        def replace(context: ssl.SSLContext, *args: object, **options: object) -> None:
            write_files(self.folder, next_pair, self.authority.pem)
            real(context, *args, **options)

        with mock.patch.object(ssl.SSLContext, "load_cert_chain", replace):
            result = open_tls(self.files)
        self.assertIn("being replaced", str(list(result.error)))


class ReloadTest(TlsCase):
    def test_mismatched_new_pair_is_reported_and_the_old_pair_stays(self) -> None:
        """Guards against a listener whose key does not match its certificate.

        A new certificate is written and a check runs; then the new key is written and the
        next check runs. In between the old pair stays in use, and the fault is logged once
        and not at every check.
        """
        tls = self.open()
        calls: list[int] = []
        tls.subscribe(lambda: calls.append(1))
        next_pair = self.authority.issue()
        self.files.certificate_file.write_bytes(next_pair.certificate)
        with mock.patch.object(tls_module, "_LOGGER") as logger:
            self.assertIn("key values mismatch", str(list(tls.check())))
            self.assertEqual(len(tls.check()), 1)
            self.assertEqual(logger.error.call_count, 1)
        self.assertEqual(run_handshake(tls, self.open_client()), self.pair.serial)
        self.assertEqual(calls, [])
        self.files.key_file.write_bytes(next_pair.key)
        self.assertEqual(len(tls.check()), 0)
        self.assertEqual(run_handshake(tls, self.open_client()), next_pair.serial)
        self.assertEqual(calls, [1])

    def test_change_that_keeps_the_modification_time(self) -> None:
        tls = self.open()
        before = os.stat(self.files.certificate_file)
        next_pair = self.authority.issue()
        write_files(self.folder, next_pair, self.authority.pem)
        for path in (self.files.certificate_file, self.files.key_file):
            os.utime(path, ns=(before.st_atime_ns, before.st_mtime_ns))
        tls.check()
        self.assertEqual(run_handshake(tls, self.open_client()), next_pair.serial)

    def test_unchanged_files_are_not_reloaded(self) -> None:
        tls = self.open()
        context = tls.server_context
        tls.subscribe(lambda: self.fail("called without a change"))
        self.files.certificate_file.touch()
        tls.check()
        self.assertIs(tls.server_context, context)

    def test_removed_authority_is_no_longer_trusted(self) -> None:
        tls = self.open()
        old_client = self.open_client().client_context
        write_files(self.folder, self.other.issue(), self.other.pem)
        tls.check()
        with self.assertRaises(ssl.SSLError):
            run_handshake_with(tls.server_context, old_client)

    def open_client(self) -> Tls:
        folder = self.folder / "client"
        folder.mkdir(exist_ok=True)
        return self.open(write_files(folder, self.authority.issue(), self.authority.pem))


class MutualTest(TlsCase):
    def test_clients_without_a_trusted_certificate_are_refused(self) -> None:
        server = self.open()
        folder = self.folder / "client"
        folder.mkdir()
        untrusted = self.open(write_files(folder, self.other.issue(), self.authority.pem))
        no_certificate = ssl.create_default_context(cadata=self.authority.pem.decode())
        for client in (untrusted.client_context, no_certificate):
            with self.subTest(), self.assertRaises(ssl.SSLError):
                run_handshake_with(server.server_context, client)

    def test_client_refuses_a_server_of_another_authority_or_address(self) -> None:
        folder = self.folder / "server"
        folder.mkdir()
        impostor = self.open(write_files(folder, self.other.issue(), None))
        client = self.open().client_context
        with self.assertRaises(ssl.SSLCertVerificationError):
            run_handshake_with(impostor.server_context, client)
        with self.assertRaises(ssl.SSLCertVerificationError):
            run_handshake_with(self.open().server_context, client, host="127.0.0.2")

    def test_handshake_with_a_silent_client_times_out(self) -> None:
        """Guards against a client that connects, sends nothing and occupies a greenlet.

        The client sends no byte and would close the connection only much later. The server
        must end the handshake first, so the cause is the server's timeout and not the
        client's close.
        """
        server = self.open()
        server_socket, client_socket = socket.socketpair()
        close_timer = threading.Timer(HANG_TIMEOUT_S / 10, client_socket.close)
        close_timer.start()
        self.addCleanup(close_timer.join)
        self.addCleanup(close_timer.cancel)
        with (
            server_socket,
            client_socket,
            mock.patch.object(tls_module, "HANDSHAKE_TIMEOUT_S", 0.01),
            self.assertRaises(HandshakeError) as raised,
        ):
            server.wrap_socket(server_socket, server_side=True)
        self.assertIsInstance(raised.exception.__cause__, TimeoutError)


class GeventTest(unittest.TestCase):
    def test_listeners_of_the_daemon(self) -> None:
        """Guards against a blocked process and tracebacks when files are reloaded under gevent.

        Clients that connect and send nothing stay connected meanwhile, as a load balancer's
        probes do, and then close. A blocking handshake, or a lock of the gRPC library held
        during a handshake, would stop all requests. A probe must not leave a traceback in
        the log.
        """
        result = subprocess.run(
            [sys.executable, "-m", "tests.helpers.tls_under_gevent"],
            capture_output=True,
            text=True,
            timeout=2 * HANG_TIMEOUT_S,
            check=False,
            cwd=ROOT,
        )
        self.assertEqual(result.returncode, 0, result.stderr)
        self.assertIn("served", result.stdout)
        self.assertNotIn("Traceback", result.stderr)


class GrpcTest(TlsCase):
    def test_server_reloads_files_without_a_restart(self) -> None:
        tls = self.open()
        server = grpc.server(futures.ThreadPoolExecutor(max_workers=1))
        peer_pb2_grpc.add_PeerServicer_to_server(_Receiver(), server)
        port = server.add_secure_port("127.0.0.1:0", tls.create_grpc_server_credentials())
        server.start()
        self.addCleanup(server.stop, None)
        old = tls.create_grpc_channel_credentials()
        self.assertIsNone(call(port, old))
        write_files(self.folder, self.other.issue(), self.other.pem)
        self.assertEqual(len(tls.check()), 0)
        self.assertIsNone(call(port, tls.create_grpc_channel_credentials()))
        self.assertIs(call(port, old), UNAVAILABLE)
        self.assertIs(call(port, grpc.ssl_channel_credentials(self.other.pem)), UNAVAILABLE)


class _Receiver(peer_pb2_grpc.PeerServicer):
    def Deliver(self, request_iterator, context):  # noqa: N802
        list(request_iterator)
        return peer_pb2.Receipt()


def call(port: int, credentials: grpc.ChannelCredentials) -> grpc.StatusCode | None:
    options = [("grpc.use_local_subchannel_pool", 1)]
    with grpc.secure_channel(f"127.0.0.1:{port}", credentials, options) as channel:
        try:
            batches = iter([peer_pb2.Batch()])
            peer_pb2_grpc.PeerStub(channel).Deliver(batches, timeout=HANG_TIMEOUT_S)
        except grpc.RpcError as error:
            return error.code()
    return None


def run_handshake(server: Tls, client: Tls) -> int:
    return run_handshake_with(server.server_context, client.client_context)


def run_handshake_with(
    server: ssl.SSLContext, client: ssl.SSLContext, host: str = "127.0.0.1"
) -> int:
    """Return the serial number of the certificate that the server presented."""
    to_server, to_client = ssl.MemoryBIO(), ssl.MemoryBIO()
    sides = [
        client.wrap_bio(to_client, to_server, server_hostname=host),
        server.wrap_bio(to_server, to_client, server_side=True),
    ]
    for _ in range(4):
        for side in sides:
            with contextlib.suppress(ssl.SSLWantReadError):
                side.do_handshake()
    return int(sides[0].getpeercert()["serialNumber"], 16)
