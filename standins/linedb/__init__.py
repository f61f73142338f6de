"""Stand-in for databases that speak the platform's line protocol."""
