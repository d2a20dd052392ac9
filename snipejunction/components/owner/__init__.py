"""The owner of searchers: concurrency limits, queues and dispatch."""
