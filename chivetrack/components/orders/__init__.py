"""Orders to engines, under the fencing number of a lease."""
