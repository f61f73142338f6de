"""Subcommands of `celeryrelay-ctl`."""
