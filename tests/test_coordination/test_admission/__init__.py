"""Test the family of admission decisions."""
