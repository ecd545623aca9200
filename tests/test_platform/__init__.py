"""Test the platform's side of each interface."""
