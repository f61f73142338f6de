"""Tasks of the entry daemon."""
