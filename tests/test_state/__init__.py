"""Test the data types and folds of ``ryelever.state``."""
