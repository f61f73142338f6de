"""Counting of outcomes and reports to the store."""
