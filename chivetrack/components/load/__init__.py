"""How many requests each endpoint has in flight, as one router knows it."""
