"""Enforcement of the limits on client accounts' operations."""
