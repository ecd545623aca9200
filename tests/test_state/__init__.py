"""Test state."""
