"""JSON merge patch (RFC 7386)."""

from typing import Any


def merge_patch(target: Any, patch: Any) -> Any:
    """Return the target with the patch merged in; neither argument is modified."""
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for key, value in patch.items():
        if value is None:
            merged.pop(key, None)
        else:
            merged[key] = merge_patch(merged.get(key), value)
    return merged
