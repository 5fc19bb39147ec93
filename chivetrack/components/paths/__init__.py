"""Which endpoints a router reaches itself, and which other routers carry its connections."""
