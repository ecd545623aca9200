"""Test the package ``ryelever.coordination.requests``."""
