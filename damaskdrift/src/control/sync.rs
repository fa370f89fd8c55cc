//! Installs the fleet document from the key-value service.

use std::sync;
use std::time::Duration;

use damaskdrift_core::fleet;

use crate::context;

/// Key of the fleet document.
const KEY: &str = "fleet";
/// Time between two reads.
const PERIOD: Duration = Duration::from_secs(1);

/// Reads the fleet document now and once a second.
pub async fn run(cx: sync::Arc<context::Context>) {
    loop {
        if let Err(message) = refresh(&cx).await {
            log::warn!("fleet document not read: {message}");
        }
        tokio::time::sleep(PERIOD).await;
    }
}

async fn refresh(cx: &context::Context) -> Result<(), String> {
    let entry = cx.key_value.get(KEY).await.map_err(|error| error.to_string())?;
    let Some(entry) = entry else {
        return Ok(());
    };
    if entry.revision <= cx.fleet.load().revision {
        return Ok(());
    }
    let document = serde_json::from_slice(&entry.value).map_err(|error| error.to_string())?;
    let snapshot = fleet::Snapshot::new(entry.revision, document)
        .map_err(|faults| faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))?;
    log::info!("installed fleet revision {}", snapshot.revision);
    cx.fleet.store(sync::Arc::new(snapshot));
    Ok(())
}
