//! Tasks that must finish before the instance stops.

use std::future::Future;

use tokio::sync::watch;

/// Spawns tasks and waits until all of them have finished.
#[derive(Debug, Default)]
pub struct Tasks(watch::Sender<()>);

impl Tasks {
    /// Spawns a task that [`Tasks::finished`] waits for.
    pub fn spawn<T: Send + 'static>(
        &self,
        task: impl Future<Output = T> + Send + 'static,
    ) -> tokio::task::JoinHandle<T> {
        let running = self.0.subscribe();
        tokio::spawn(async move {
            let output = task.await;
            drop(running);
            output
        })
    }

    /// Waits until no spawned task is running.
    pub async fn finished(&self) {
        self.0.closed().await;
    }
}
