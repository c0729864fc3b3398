"""Tests of the coordinator."""
