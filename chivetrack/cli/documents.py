"""Reading of resource files: JSON or TOML, with one or several resources."""

import sys
import tomllib
from pathlib import Path
from typing import Any

import msgspec

from chivetrack.cli.models import Resource
from chivetrack.helpers.finding import Findings, suggest_name

STANDARD_INPUT = "-"
TOP_LEVEL_KEYS = ("kind", "metadata", "spec", "status")


def read_resources(paths: list[str], findings: Findings) -> list[Resource]:
    """Read the resources of all files and add the faults of all files to ``findings``."""
    resources: list[Resource] = []
    for path in paths:
        documents = _read_documents(path, findings)
        for number, document in enumerate(documents, start=1):
            place = f"{path} resource {number}" if len(documents) > 1 else path
            if _check_document(document, place, findings):
                resources.append(Resource(document))
    return resources


def _read_documents(path: str, findings: Findings) -> list[Any]:
    try:
        data = sys.stdin.buffer.read() if path == STANDARD_INPUT else Path(path).read_bytes()
        text = data.decode("utf-8")
        content = tomllib.loads(text) if path.endswith(".toml") else msgspec.json.decode(text)
    except OSError as error:
        findings.add(path, f"cannot be read: {error.strerror}")
        return []
    except UnicodeDecodeError:
        findings.add(path, "is not UTF-8 text")
        return []
    except (msgspec.DecodeError, tomllib.TOMLDecodeError) as error:
        findings.add(path, f"cannot be read: {error}", hint="JSON, or TOML in a .toml file")
        return []
    documents = content
    if isinstance(content, dict):
        documents = content.get("items", content.get("resources", [content]))
    if not isinstance(documents, list) or not documents:
        findings.add(path, "holds no resources")
        return []
    return documents


def _check_document(document: Any, place: str, findings: Findings) -> bool:
    """Check the structure of a resource only; the server validates its content."""
    count_before = len(findings)
    if not isinstance(document, dict):
        findings.add(place, "is not a resource: a table with kind, metadata and spec")
        return False
    for key in document:
        if key not in TOP_LEVEL_KEYS:
            findings.add(
                f"{place} {key}",
                "is not a key of a resource",
                hint=suggest_name(key, TOP_LEVEL_KEYS),
            )
    if not isinstance(document.get("kind"), str) or not document.get("kind"):
        findings.add(f"{place} kind", "is missing or not a text")
    metadata = document.get("metadata")
    name = metadata.get("name") if isinstance(metadata, dict) else None
    if not isinstance(name, str) or not name:
        findings.add(f"{place} metadata.name", "is missing or not a text")
    if not isinstance(document.get("spec", {}), dict):
        findings.add(f"{place} spec", "must be a table")
    return len(findings) == count_before
