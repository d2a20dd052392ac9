"""State of the settings group and its distribution to followers."""
