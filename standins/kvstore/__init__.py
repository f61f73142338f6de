"""Stand-in for the platform: key-value store and promotion of servers."""
