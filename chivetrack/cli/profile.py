"""Connection settings from flags, environment variables and profiles."""

import os
import stat
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

import typer
from expression import Error, Ok, Result

from chivetrack.cli import const
from chivetrack.helpers.finding import Findings, suggest_name

PROFILE_KEYS = ("server", "key", "ca", "certificate", "certificate_key")


@dataclass(frozen=True, slots=True, kw_only=True)
class Connection:
    """Address of the resource API, credentials and timeout."""

    server: str = ""
    key: str = field(default="", repr=False)
    ca: str = ""
    certificate: str = ""
    certificate_key: str = ""
    timeout_s: float = const.DEFAULT_TIMEOUT_S


@dataclass(frozen=True, slots=True, kw_only=True)
class Flags:
    """Values of the command-line options; empty for options that were not given."""

    server: str = ""
    key: str = field(default="", repr=False)
    ca: str = ""
    profile: str = ""
    timeout_s: float = const.DEFAULT_TIMEOUT_S


def get_profile_path(environment: Mapping[str, str] = os.environ) -> Path:
    """Return the path of the file with profiles."""
    path = environment.get(const.ENV_PROFILE_FILE)
    return Path(path) if path else Path(typer.get_app_dir("chivetrack")) / "profiles.toml"


def resolve_connection(
    flags: Flags, environment: Mapping[str, str] = os.environ
) -> Result[Connection, Findings]:
    """Merge the sources: flags take precedence over the environment, then the profile."""
    profile = _read_profile(flags, environment)
    if profile.is_error():
        return Error(profile.error)
    values = profile.ok
    server = flags.server or environment.get(const.ENV_SERVER, "") or values.get("server", "")
    key = (flags.key or environment.get(const.ENV_KEY, "") or values.get("key", "")).strip()
    findings = Findings()
    if not (key.isascii() and key.isprintable()):
        findings.add("the key", "contains characters that are not allowed in a key")
    if not server:
        findings.add("--server", "is missing", hint=f"or set {const.ENV_SERVER}, or use a profile")
    elif not server.startswith(("http://", "https://")):
        findings.add(server, "must start with https:// or http://")
    if len(findings):
        return Error(findings)
    return Ok(
        Connection(
            server=server.rstrip("/"),
            key=key,
            ca=flags.ca or environment.get(const.ENV_CA, "") or values.get("ca", ""),
            certificate=values.get("certificate", ""),
            certificate_key=values.get("certificate_key", ""),
            timeout_s=flags.timeout_s,
        )
    )


def _read_profile(
    flags: Flags, environment: Mapping[str, str]
) -> Result[Mapping[str, str], Findings]:
    requested = flags.profile or environment.get(const.ENV_PROFILE, "")
    path = get_profile_path(environment)
    findings = Findings()
    if not path.exists():
        if requested:
            findings.add(str(path), f"is not there, so there is no profile {requested!r}")
            return Error(findings)
        return Ok({})
    try:
        profiles = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        findings.add(str(path), f"cannot be read: {error}")
        return Error(findings)
    return _select_profile(path, profiles, requested)


def _select_profile(
    path: Path, profiles: Mapping[str, object], requested: str
) -> Result[Mapping[str, str], Findings]:
    findings = Findings()
    name = requested or const.DEFAULT_PROFILE
    content = profiles.get(name)
    if not isinstance(content, dict):
        if requested:
            findings.add(f"{path} {name}", "is not a profile", hint=suggest_name(name, profiles))
            return Error(findings)
        return Ok({})
    for key, value in content.items():
        if key not in PROFILE_KEYS:
            hint = suggest_name(key, PROFILE_KEYS)
            findings.add(f"{path} {name}.{key}", "is not a setting of a profile", hint=hint)
        elif not isinstance(value, str):
            findings.add(f"{path} {name}.{key}", "must be a text")
    if content.get("key") and path.stat().st_mode & (stat.S_IRWXG | stat.S_IRWXO):
        findings.add(
            str(path), "contains a key and is readable by others", hint=f"run: chmod 600 {path}"
        )
    return Error(findings) if len(findings) else Ok(content)
