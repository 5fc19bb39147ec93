"""Which endpoint a request goes to, decided without I/O."""
