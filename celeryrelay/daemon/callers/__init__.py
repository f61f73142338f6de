"""Sessions of callers and the way of their statements."""
