//! Wakes every task that waits for a change.

use smol::channel::{Receiver, Sender, bounded};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// A change that any number of tasks can wait for.
///
/// A waiter that subscribes before it looks at the state misses no change.
#[derive(Debug)]
pub struct Signal(Mutex<(Sender<()>, Receiver<()>)>);

/// The next change of a [`Signal`].
#[derive(Debug)]
pub struct Change(Receiver<()>);

impl Default for Signal {
    fn default() -> Self {
        Self(Mutex::new(bounded(1)))
    }
}

impl Signal {
    /// Wakes all who subscribed before this call.
    pub fn notify(&self) {
        // Dropping the only sender closes the channel, which wakes all its receivers.
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = bounded(1);
    }

    /// Returns the next change.
    #[must_use]
    pub fn subscribe(&self) -> Change {
        Change(
            self.0
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .1
                .clone(),
        )
    }
}

impl Change {
    /// Waits for the change.
    pub async fn wait(self) {
        let _closed = self.0.recv().await;
    }

    /// Waits for the change, at most for `limit`. Returns false if the time ran out.
    pub async fn wait_for(self, limit: Duration) -> bool {
        let changed = async {
            self.wait().await;
            true
        };
        smol::future::or(changed, async {
            smol::Timer::after(limit).await;
            false
        })
        .await
    }
}
