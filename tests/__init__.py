"""Test ryelever."""
