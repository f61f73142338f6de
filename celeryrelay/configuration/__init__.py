"""Publication and revisions of the object set."""
