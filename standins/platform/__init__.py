"""Stand-in for the platform's key-value service and instance list."""
