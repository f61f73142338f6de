"""Load generator that measures latency, availability and consistency."""
