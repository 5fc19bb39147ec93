"""Select the endpoint for each request, without I/O."""
