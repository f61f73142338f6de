"""Numbered outcome batches and reports."""
