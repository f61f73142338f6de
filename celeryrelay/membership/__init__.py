"""Live daemons, and the roles and connection quotas derived from them."""
