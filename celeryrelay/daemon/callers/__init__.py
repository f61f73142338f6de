"""Caller sessions and the dispatch of their statements to slot holders."""
