"""A soak of real entries under faults that are injected from outside."""
