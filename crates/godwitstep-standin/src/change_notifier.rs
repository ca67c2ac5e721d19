//! Wakes every task that waits for a change of shared state.

use smol::channel::{Receiver, Sender, bounded};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Notifies any number of tasks, on any thread, of changes.
///
/// A task that subscribes before it reads the state misses no change.
#[derive(Debug)]
pub struct ChangeNotifier(Mutex<(Sender<()>, Receiver<()>)>);

/// Subscription to the next change of a [`ChangeNotifier`].
#[derive(Debug)]
pub struct Subscription(Receiver<()>);

impl Default for ChangeNotifier {
    fn default() -> Self {
        Self(Mutex::new(bounded(1)))
    }
}

impl ChangeNotifier {
    /// Wakes all tasks that subscribed before this call.
    pub fn notify(&self) {
        // Dropping the only sender closes the channel, which wakes all its receivers.
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = bounded(1);
    }

    /// Returns a subscription to the next change.
    #[must_use]
    pub fn subscribe(&self) -> Subscription {
        Subscription(
            self.0
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .1
                .clone(),
        )
    }
}

impl Subscription {
    /// Waits for the change.
    pub async fn wait(self) {
        let _closed = self.0.recv().await;
    }

    /// Waits for the change, for at most `timeout`. Returns false on timeout.
    pub async fn wait_timeout(self, timeout: Duration) -> bool {
        let changed = async {
            self.wait().await;
            true
        };
        smol::future::or(changed, async {
            smol::Timer::after(timeout).await;
            false
        })
        .await
    }
}
