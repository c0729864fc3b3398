"""Tests of the platform clients, in memory and over HTTP."""
