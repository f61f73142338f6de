"""Pooled connections to backend servers and the statements sent on them."""
