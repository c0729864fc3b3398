"""Tests of the job engine."""
