"""Failure detection for primaries, and failover to a new primary."""
