//! Connections and calls to upstreams.
