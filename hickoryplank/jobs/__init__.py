"""The engine of jobs: tables, and systems that run over them, without I/O."""
