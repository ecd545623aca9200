"""Run real entry hosts under random faults, and check them against the promises."""
