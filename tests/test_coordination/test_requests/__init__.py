"""Test the family of requests decisions."""
