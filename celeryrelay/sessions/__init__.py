"""Session tokens, read bounds, replica staleness and session statements."""
