"""Translate between the users' platform and the product, without any decisions."""
