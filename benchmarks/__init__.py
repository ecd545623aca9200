"""Measure ryelever; figures go to the pages in docs/."""
