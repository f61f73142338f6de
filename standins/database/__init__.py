"""Stand-in for the MySQL server of a database slot, backed by SQLite."""
