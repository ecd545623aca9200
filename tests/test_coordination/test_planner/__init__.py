"""Test the family of planner decisions."""
