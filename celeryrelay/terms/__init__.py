"""Terms, write acknowledgement and failover decisions."""
