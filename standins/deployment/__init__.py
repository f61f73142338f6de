"""Deployments of celeryrelay and its stand-ins as processes on one machine."""
