"""Subcommands of the operators' program."""
