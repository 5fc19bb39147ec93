"""Parses files with one or more resource documents, in TOML or JSON.

TOML: either one document, or several as ``[[resource]]`` tables. JSON: one document,
a list of documents, or an object with the key ``resource`` that holds such a list.
"""

import re
import tomllib
from typing import Any, Final

import msgspec

from chivetrack.components.resources.validation import Resource, validate_document
from chivetrack.helpers.finding import Findings

LIST_KEY: Final = "resource"
_RESOURCE_HEADER = re.compile(r"^\s*\[\[\s*resource\s*\]\]")


def parse_documents(text: str, findings: Findings, *, source: str) -> list[Resource]:
    """Parse a file named ``source``: JSON with the suffix ``.json``, TOML otherwise.

    Each resource and each finding carries its place, such as
    ``fleet.toml:12: spec.rate``. Valid resources are returned even if others have
    faults; do not apply any of them while ``findings`` is not empty.
    """
    is_json = source.endswith(".json")
    try:
        data: Any = msgspec.json.decode(text) if is_json else tomllib.loads(text)
    except (msgspec.MsgspecError, tomllib.TOMLDecodeError) as error:
        findings.add(f"{source}:", str(error))
        return []
    resources: list[Resource] = []
    for place, document in _list_placed_documents(data, text, source):
        resource = validate_document(document, findings, place=place)
        if resource is not None:
            resources.append(resource)
    _find_duplicates(resources, findings)
    return resources


def _list_placed_documents(data: Any, text: str, source: str) -> list[tuple[str, Any]]:
    documents = data.get(LIST_KEY) if isinstance(data, dict) else data
    if not isinstance(documents, list):
        return [(f"{source}:", data)]
    lines = [
        number for number, line in enumerate(text.splitlines(), 1) if _RESOURCE_HEADER.match(line)
    ]
    if not source.endswith(".json") and len(lines) == len(documents):
        places = [f"{source}:{line}:" for line in lines]
    else:
        places = [f"{source}: {LIST_KEY}[{index}]" for index in range(len(documents))]
    return list(zip(places, documents, strict=True))


def _find_duplicates(resources: list[Resource], findings: Findings) -> None:
    seen: dict[tuple[str, str], str] = {}
    for resource in resources:
        identity = (resource.kind, resource.metadata.name)
        if identity in seen:
            name = f"{resource.kind}/{resource.metadata.name}"
            findings.add(resource.place, f"{name} is already defined at {seen[identity]}")
        seen.setdefault(identity, resource.place)
