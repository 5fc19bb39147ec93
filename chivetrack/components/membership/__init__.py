"""Membership: the known instances of the fleet, and failure detection among them."""
