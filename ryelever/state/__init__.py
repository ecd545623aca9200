"""Data types and folds of the log's records, without clocks and without I/O."""
