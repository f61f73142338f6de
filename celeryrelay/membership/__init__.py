"""Live instances and the roles derived from them."""
