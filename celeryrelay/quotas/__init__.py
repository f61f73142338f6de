"""Limits on the operations of client accounts, over all daemons together."""
