"""Load generation and measurement."""
