"""Command-line programs and the reference pages."""
