"""Daemon settings and operators' objects."""
