"""Test the family of soft state decisions."""
