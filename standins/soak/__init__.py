"""Randomized soak tests of daemon processes with injected faults."""
