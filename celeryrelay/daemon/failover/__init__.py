"""Observation and replacement of primaries."""
