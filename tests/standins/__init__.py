"""Stand in for the outside systems; docs/INTERFACES.md describes each interface.

Each module runs as a process of its own: ``python -m tests.standins.engine``.  It
prints ``listening ADDRESS`` once it serves.  ``POST /control`` sets its switches.
"""
