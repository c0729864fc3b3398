"""Decisions without I/O: tables of entities and the systems that run over them."""
