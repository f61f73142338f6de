"""Programs for operators."""
