"""Exchange between daemons of members, term records and configuration."""
