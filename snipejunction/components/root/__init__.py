"""Query root: planning, hedging, retries, coverage and answers."""
