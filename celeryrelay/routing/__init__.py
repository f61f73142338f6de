"""Statement classification, route lookup and server selection for reads."""
