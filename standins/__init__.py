"""Simulated external systems of celeryrelay, for tests and the demo."""
