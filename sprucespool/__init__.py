"""sprucespool: an invoker front end whose decisions hold when each controller sees only its own traffic."""
