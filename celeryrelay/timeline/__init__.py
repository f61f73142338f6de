"""Event logs of the processes and their merging into one timeline."""
