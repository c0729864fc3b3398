"""The job engine: state tables and the systems that work on them, without I/O."""
