//! Metrics recorder with Prometheus text output.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Installs the global metrics recorder and returns the handle that renders its metrics as text.
///
/// # Panics
///
/// Panics if the process already has a recorder.
pub fn init() -> PrometheusHandle {
    PrometheusBuilder::new()
        .install_recorder()
        .expect("no other recorder is installed in this process")
}
