"""The coordinator: one entry at a time drives the engine for all pools."""
