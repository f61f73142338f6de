"""Network, log and metrics adapters."""
