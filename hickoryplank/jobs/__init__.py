"""The job engine: state tables and the functions that update them, without I/O."""
