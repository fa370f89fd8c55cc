//! Reports the state of an instance in its metrics.

use std::rc::Rc;
use std::time::Duration;

use crate::entry::clock;
use crate::entry::state;

/// How often gauges are set; the metrics are read every few seconds.
const PACE: Duration = Duration::from_secs(2);

/// Sets the gauges until the process ends.
pub async fn run(entry: Rc<state::Entry>) {
    loop {
        let age = entry.config_confirmed_at.get().map(|at| clock::now().since(at));
        metrics::gauge!("configuration_age_seconds")
            .set(age.map_or(f64::INFINITY, |age| age.0 as f64 / 1_000.0));
        metrics::gauge!("instances").set(f64::from(entry.instance_count()));
        metrics::gauge!("upstreams").set(entry.upstreams.borrow().iter().count() as f64);
        metrics::gauge!("requests_running").set(f64::from(entry.requests.get()));
        tokio::time::sleep(PACE).await;
    }
}
