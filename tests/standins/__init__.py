"""Stand-ins for the external systems whose interfaces docs/INTERFACES.md describes.

A stand-in runs as a separate process, such as ``python -m tests.standins.engine``.
It prints ``listening ADDRESS`` once it serves.  ``POST /control`` sets its switches.
"""
