"""Tests of the emulated servers, and of the planners during days with losses."""
