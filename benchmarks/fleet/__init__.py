"""A fleet of routers before model engines, modelled: policies compared on drawn deployments."""
