"""Distribution of the document, endpoints and loads from replicas to routers."""
