"""Certificates for tests, created for each run."""

import datetime
import ipaddress
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from chivetrack.helpers.tls import TlsFiles

_START = datetime.datetime(2020, 1, 1)
_END = datetime.datetime(2100, 1, 1)


@dataclass(frozen=True)
class CertificateAndKey:
    certificate: bytes
    key: bytes
    encrypted_key: bytes
    serial: int


class Authority:
    def __init__(self, name: str) -> None:
        self._name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
        self._key = ec.generate_private_key(ec.SECP256R1())
        certificate = (
            _build(self._name, self._name, self._key)
            .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
            .sign(self._key, hashes.SHA256())
        )
        self.pem = certificate.public_bytes(serialization.Encoding.PEM)

    def issue(self, *, hosts: Sequence[str] = ("127.0.0.1",)) -> CertificateAndKey:
        key = ec.generate_private_key(ec.SECP256R1())
        name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "instance")])
        addresses = [x509.IPAddress(ipaddress.ip_address(host)) for host in hosts]
        certificate = (
            _build(name, self._name, key)
            .add_extension(x509.SubjectAlternativeName(addresses), critical=False)
            .sign(self._key, hashes.SHA256())
        )
        return CertificateAndKey(
            certificate.public_bytes(serialization.Encoding.PEM),
            _write_key(key, serialization.NoEncryption()),
            _write_key(key, serialization.BestAvailableEncryption(b"pass phrase")),
            certificate.serial_number,
        )


def write_files(folder: Path, pair: CertificateAndKey, ca: bytes | None) -> TlsFiles:
    (folder / "cert.pem").write_bytes(pair.certificate)
    (folder / "key.pem").write_bytes(pair.key)
    if ca is None:
        return TlsFiles(certificate_file=folder / "cert.pem", key_file=folder / "key.pem")
    (folder / "ca.pem").write_bytes(ca)
    return TlsFiles(
        certificate_file=folder / "cert.pem",
        key_file=folder / "key.pem",
        ca_file=folder / "ca.pem",
    )


def _build(
    subject: x509.Name, issuer: x509.Name, key: ec.EllipticCurvePrivateKey
) -> x509.CertificateBuilder:
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(_START)
        .not_valid_after(_END)
    )


def _write_key(
    key: ec.EllipticCurvePrivateKey, encryption: serialization.KeySerializationEncryption
) -> bytes:
    return key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, encryption
    )
