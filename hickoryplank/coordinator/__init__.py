"""The coordinator: the entry that holds the lease runs the engine for all pools."""
