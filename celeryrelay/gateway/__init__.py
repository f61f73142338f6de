"""Proxy daemon for databases whose replication terms the platform assigns."""
