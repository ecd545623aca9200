"""Test the family of limits decisions."""
