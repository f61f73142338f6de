"""TCP proxy that injects network faults."""
