"""Test the admission of requests."""
