"""Tests of the handling of relayed requests."""
