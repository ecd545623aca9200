"""Measure ryelever; each module says what it measures and how to run it."""
