"""Fakes of the log service, the VM list, the workers, and the users' platform."""
