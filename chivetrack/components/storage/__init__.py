"""The data folder of a replica: durable state, synced before it is acknowledged."""

from chivetrack.components.storage.storage import Storage, create_folder, open_storage

__all__ = ["Storage", "create_folder", "open_storage"]
