"""Event logs of all processes and their merge."""
