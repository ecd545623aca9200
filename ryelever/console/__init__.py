"""Serve the operators' console: the configuration forms and the status page."""
