"""Test the family of relaying decisions."""
