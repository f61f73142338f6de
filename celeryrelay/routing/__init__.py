"""Statement classification, routes and holders."""
