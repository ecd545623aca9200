"""Decisions under time and faults: events and a time in, actions out."""
