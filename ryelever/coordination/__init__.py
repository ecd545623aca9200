"""Decision logic that maps events and the current time to actions, without I/O."""
