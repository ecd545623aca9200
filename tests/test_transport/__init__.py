"""Test transport."""
