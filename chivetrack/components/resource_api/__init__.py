"""The HTTP API through which operators read and change resources."""
