"""Resource use per item, from which the capacity page is calculated."""
