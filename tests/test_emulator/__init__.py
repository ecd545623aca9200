"""Test the emulated servers, and the planners over days of losses."""
