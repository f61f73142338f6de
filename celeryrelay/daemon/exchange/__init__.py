"""Exchange between daemons: live view and configuration."""
