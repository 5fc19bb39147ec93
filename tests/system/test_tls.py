"""System test of a fleet whose listeners all use TLS."""

import json
import socket
import ssl
import time
import unittest
from pathlib import Path

import urllib3

from standins.fleet import CALLER_PORT, PEER_PORT, RESOURCE_PORT, TELEMETRY_PORT, Fleet, open_fleet
from tests.helpers.certificates import Authority, write_files
from tests.system.fleets import make_workspace, wait_for

LISTENERS = ("caller", "resources", "peer", "telemetry")


class TlsFleetTest(unittest.TestCase):
    def open(self) -> Fleet:
        fleet = self.enterContext(open_fleet())
        fleet.plan_instances(3)
        self.authority = Authority("fleet")
        fleet.settings["tls"] = {"enabled": True, "plain_text_accepted": False}
        folder = fleet.folder / "tls"
        folder.mkdir()
        hosts = [plan.host for plan in fleet.plans]
        files = write_files(folder, self.authority.issue(hosts=hosts), self.authority.pem)
        for name in LISTENERS:
            section = {
                "certificate_file": str(files.certificate_file),
                "key_file": str(files.key_file),
            }
            if name == "peer":
                section["ca_file"] = str(files.ca_file)
            fleet.settings[f"tls.{name}"] = section
        self.ca_file = Path(str(files.ca_file))
        for plan in fleet.plans:
            fleet.start_instance(plan)
        return fleet

    def request(self, method: str, host: str, port: int, path: str, **options):
        http = urllib3.PoolManager(ca_certs=str(self.ca_file), retries=False, timeout=10.0)
        return http.request(method, f"https://{host}:{port}{path}", **options)

    def is_ready(self, host: str) -> bool:
        try:
            return self.request("GET", host, CALLER_PORT, "/readyz").status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def test_listeners_accept_tls_and_reject_plain_text(self) -> None:
        """Guards against a listener that fails with TLS or accepts plain text.

        A ready instance has exchanged gossip, log and configuration over mutual TLS. A client
        without TLS and a peer without a certificate of the fleet must be refused.
        """
        fleet = self.open()
        hosts = [plan.host for plan in fleet.plans]
        for host in hosts:
            wait_for(lambda host=host: self.is_ready(host), f"{host} is not ready")
        headers = {"Authorization": f"Bearer {fleet.operator_key}"}
        body = json.dumps(make_workspace("hakata", 1))
        path = "/api/v1/workspace"
        made = self.request("POST", hosts[0], RESOURCE_PORT, path, body=body, headers=headers)
        self.assertEqual(made.status, 201, made.data)
        read = self.request("GET", hosts[2], RESOURCE_PORT, f"{path}/hakata", headers=headers)
        self.assertEqual(read.status, 200)
        metrics = self.request("GET", hosts[1], TELEMETRY_PORT, "/metrics")
        self.assertIn(b"chivetrack_config_revision", metrics.data)
        plain = urllib3.PoolManager(retries=False, timeout=5.0)
        for port in (CALLER_PORT, RESOURCE_PORT, TELEMETRY_PORT):
            with self.subTest(port=port), self.assertRaises(urllib3.exceptions.HTTPError):
                plain.request("GET", f"http://{hosts[0]}:{port}/readyz")
        self.assert_peer_without_certificate_is_refused(hosts[0])

    def assert_peer_without_certificate_is_refused(self, host: str) -> None:
        context = ssl.create_default_context(cafile=str(self.ca_file))
        context.set_alpn_protocols(["h2"])
        with self.assertRaises((ssl.SSLError, OSError)):
            self.connect_without_certificate(host, context)

    def connect_without_certificate(self, host: str, context: ssl.SSLContext) -> None:
        with (
            socket.create_connection((host, PEER_PORT), timeout=5.0) as raw,
            context.wrap_socket(raw, server_hostname=host) as connection,
        ):
            connection.sendall(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
            deadline = time.monotonic() + 5.0
            while time.monotonic() < deadline:
                if not connection.recv(1):
                    raise OSError("closed")
