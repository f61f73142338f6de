"""Stand-in for a replicated database that speaks the line protocol."""
