"""Measurements of the decisions, in virtual time and on one machine."""
