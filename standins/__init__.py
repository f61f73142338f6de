"""Stand-ins for the systems around celeryrelay, for tests and the demo."""
