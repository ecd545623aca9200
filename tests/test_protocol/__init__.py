"""Test protocol."""
