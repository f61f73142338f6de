"""Daemon in front of databases whose terms the platform assigns."""
