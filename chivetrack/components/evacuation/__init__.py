"""Evacuation of zones by operators, as replicated state.

The endpoints of an evacuated zone get no new requests.
"""
