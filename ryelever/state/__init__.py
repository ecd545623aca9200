"""Pure data and folds: no clock, no input or output."""
