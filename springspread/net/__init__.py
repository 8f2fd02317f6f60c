"""Socket drivers: threads that feed the connection state machines and the core."""
