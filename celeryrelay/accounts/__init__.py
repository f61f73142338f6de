"""Client accounts, their API keys and the quotas that operators set for them."""
