"""Statement accounting, metrics and the status document."""
