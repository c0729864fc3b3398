"""Tests of the platform clients, over HTTP and in memory."""
