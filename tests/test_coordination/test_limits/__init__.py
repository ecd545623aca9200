"""Tests of the split of client accounts' limits."""
