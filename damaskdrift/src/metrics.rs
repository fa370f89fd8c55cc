//! Metrics recorder and its text page.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Installs the recorder and returns the handle that renders the page.
pub fn init() -> PrometheusHandle {
    PrometheusBuilder::new()
        .install_recorder()
        .expect("no other recorder is installed in this process")
}
