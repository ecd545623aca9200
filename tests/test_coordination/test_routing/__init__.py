"""Test the family of routing decisions."""
