"""Daemon settings and the objects that operators publish."""
