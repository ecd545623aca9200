"""Tests of the translation between the platform and the product."""
