"""Test the family of groups decisions."""
