"""Account of statement outcomes: batches, their storage and reports."""
