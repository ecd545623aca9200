"""Test system."""
