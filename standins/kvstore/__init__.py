"""Stand-in for the platform's key-value store and its promotion orders."""
