"""Generated gRPC code of the protocol between instances."""
