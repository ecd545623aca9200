"""Test coordination."""
