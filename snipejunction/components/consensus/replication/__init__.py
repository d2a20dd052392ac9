"""Messages that the replicas of a group exchange."""
