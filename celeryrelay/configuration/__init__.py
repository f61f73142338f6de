"""Publishing of object sets and the configuration revision of a daemon."""
