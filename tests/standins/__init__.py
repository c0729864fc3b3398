"""Small stand-ins for the log service, the VM list and the workers."""
