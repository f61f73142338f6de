"""Values shared by all parts."""
