"""Tests of the planning of replica groups."""
