"""Directory of searchers: publications, registrars and routing tables."""
