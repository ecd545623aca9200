"""Test the package ``ryelever.coordination.planner``."""
