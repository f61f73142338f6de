"""Session tokens, read bounds and replica staleness."""
