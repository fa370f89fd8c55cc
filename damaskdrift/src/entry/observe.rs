//! Gauges of an instance's state.

use std::rc::Rc;
use std::time::Duration;

use crate::entry::clock;
use crate::entry::notices;
use crate::entry::state;

/// Interval between updates of the gauges; metrics are scraped every few seconds.
const UPDATE_INTERVAL: Duration = Duration::from_secs(2);

/// Updates the gauges periodically until the process exits.
pub async fn run(entry: Rc<state::Entry>) {
    loop {
        let age = entry.config_confirmed_at.get().map(|at| clock::now().since(at));
        metrics::gauge!("configuration_age_seconds")
            .set(age.map_or(f64::INFINITY, |age| age.0 as f64 / 1_000.0));
        metrics::gauge!("instances").set(f64::from(entry.instance_count()));
        metrics::gauge!("upstreams").set(entry.upstreams.borrow().iter().count() as f64);
        metrics::gauge!("requests_running").set(f64::from(entry.requests.get()));
        metrics::gauge!("requests_waiting").set(f64::from(entry.waiting.get()));
        notices::maintain(&entry);
        tokio::time::sleep(UPDATE_INTERVAL).await;
    }
}
