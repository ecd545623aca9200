"""Test the package ``ryelever.coordination.routing``."""
