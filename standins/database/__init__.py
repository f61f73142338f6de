"""Stand-in for a database slot, backed by SQLite."""
