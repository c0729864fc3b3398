"""Clients of the platform's services, each over HTTP and simulated in memory."""
