"""Small tools that every layer may use."""
