"""Tests of the exchange of soft state between entry hosts."""
