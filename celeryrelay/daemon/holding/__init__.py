"""Connections to the slots that a daemon holds."""
