"""Serve the operators' forms and the status page."""
