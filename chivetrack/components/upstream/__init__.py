"""HTTP client that sends requests to endpoints and reads their answers."""
