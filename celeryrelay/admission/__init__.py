"""Queueing by rank, limits and retry budgets."""
