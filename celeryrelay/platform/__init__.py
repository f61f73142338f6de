"""Adapters to the users' platform: its store, protocols and settings file."""
