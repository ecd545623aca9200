"""Serve language models that are too large for one machine."""

from __future__ import annotations

__all__ = ["__version__"]

__version__ = "0.1.0"
