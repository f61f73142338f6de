"""Tests of terms, write acknowledgement and failover decisions."""
