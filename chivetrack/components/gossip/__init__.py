"""Gossip of versioned key-values between instances within a budget of bytes."""
