"""TLS context of the command line: trusted authorities and the client certificate."""

import ssl

from expression import Error, Ok, Result

from chivetrack.cli.profile import Connection
from chivetrack.helpers.finding import Findings


def create_context(connection: Connection) -> Result[ssl.SSLContext, Findings]:
    """Create the TLS context of a connection from its files.

    The files are loaded before the first request. Otherwise the client would report a file
    that cannot be read as a TLS error, which means that the outcome is unknown.
    """
    findings = Findings()
    context = ssl.create_default_context()
    if connection.ca:
        try:
            context = ssl.create_default_context(cafile=connection.ca)
        except (OSError, ssl.SSLError) as error:
            findings.add(connection.ca, f"holds no usable authorities: {_describe(error)}")
    if connection.certificate:
        key = connection.certificate_key or None
        try:
            context.load_cert_chain(connection.certificate, key)
        except (OSError, ssl.SSLError) as error:
            place = f"{connection.certificate}, {connection.certificate_key}"
            findings.add(place, f"are no usable pair: {_describe(error)}")
    return Error(findings) if len(findings) else Ok(context)


def _describe(error: Exception) -> str:
    if isinstance(error, ssl.SSLError):
        return (error.reason or str(error)).lower().replace("_", " ")
    return str(getattr(error, "strerror", None) or error)
