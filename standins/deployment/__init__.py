"""Starts a whole set of processes on one machine."""
