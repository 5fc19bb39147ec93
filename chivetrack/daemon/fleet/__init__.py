"""The processes of a deployment in which routers and replicas run on separate instances."""
