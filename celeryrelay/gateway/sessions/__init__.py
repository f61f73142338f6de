"""Sessions of callers and the execution of their statements."""
