"""Small tools that every layer may use; none of them does I/O."""
