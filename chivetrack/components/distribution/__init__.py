"""How replicas tell routers of the document and the endpoints."""
