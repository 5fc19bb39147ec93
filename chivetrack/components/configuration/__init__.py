"""Brings the committed configuration to every router and says how fresh it is."""
