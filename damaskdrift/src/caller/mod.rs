//! Callers' HTTP listener.
