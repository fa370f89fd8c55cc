//! Tasks that a stopping instance finishes first.

use std::future::Future;

use tokio::sync::watch;

/// Spawns tasks and waits for them.
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

    /// Waits until no task runs.
    pub async fn finished(&self) {
        self.0.closed().await;
    }
}
