"""Keeps what a whole fleet sends to a cold endpoint within what that one bears."""
