"""Tests of the network transport."""
