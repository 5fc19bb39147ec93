"""Which instances there are, and which of them live."""
