"""Test the operators' console."""
