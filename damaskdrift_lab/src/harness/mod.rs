//! Starts, signals and stops processes for tests and experiments.
