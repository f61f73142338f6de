"""Measurement of the slopes that the capacity page is calculated from."""
