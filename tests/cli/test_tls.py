"""The command line over TLS: trusted authorities and client certificates."""

import os
import tempfile
from pathlib import Path

from chivetrack.cli.const import ExitCode
from chivetrack.helpers.tls import TlsFiles, open_tls
from tests.cli.case import CliCase
from tests.cli.stand_in import open_stand_in
from tests.helpers.certificates import Authority, write_files


class TlsTest(CliCase):
    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.authority = Authority("first")
        self.files = write_files(Path(folder.name), self.authority.issue(), self.authority.pem)

    def run_against(self, files: TlsFiles, *flags: str) -> int:
        tls = open_tls(files).default_with(lambda found: self.fail(list(found)))
        with open_stand_in(tls) as server:
            self.environment["CHIVETRACK_SERVER"] = server.url
            return self.run_command(*flags, "get", "workspace").code

    def test_server_must_be_of_a_trusted_authority(self) -> None:
        files = TlsFiles(certificate_file=self.files.certificate_file, key_file=self.files.key_file)
        other = self.write("other.pem", Authority("second").pem.decode())
        table = [(str(self.files.ca_file), ExitCode.OK), (other, ExitCode.UNREACHABLE)]
        for ca, code in table:
            with self.subTest(code=code):
                self.assertEqual(self.run_against(files, "--ca", ca), code)

    def test_certificate_of_a_profile_is_presented(self) -> None:
        ca = str(self.files.ca_file)
        self.assertEqual(self.run_against(self.files, "--ca", ca), ExitCode.UNREACHABLE)
        profile = self.write(
            "profiles.toml",
            f'[default]\nca = "{ca}"\ncertificate = "{self.files.certificate_file}"\n'
            f'certificate_key = "{self.files.key_file}"\n',
        )
        os.chmod(profile, 0o600)
        self.assertEqual(self.run_against(self.files), ExitCode.OK)

    def test_unreadable_files_are_a_usage_error(self) -> None:
        for ca in ("/nonexistent", self.write("garbage.pem", "garbage")):
            with self.subTest(ca=ca):
                self.assertEqual(self.run_against(self.files, "--ca", ca), ExitCode.USAGE)
