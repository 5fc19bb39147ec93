"""Orders to engines, protected by the fencing number of a lease."""
