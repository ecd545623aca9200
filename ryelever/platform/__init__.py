"""Translate between the platform's formats and ryelever's, without any decisions."""
