"""The processes of a deployment that runs routers and replicas on instances of their own."""
