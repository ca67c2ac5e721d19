//! A counter whose changes can be awaited by any number of tasks of one thread.

use smol::Timer;
use smol::future::FutureExt;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};
use std::time::Duration;

/// The counter.
#[derive(Debug, Default)]
pub(super) struct Notice {
    version: Cell<u64>,
    waiting: RefCell<Vec<Waker>>,
}

impl Notice {
    /// Returns the number of changes so far.
    pub fn version(&self) -> u64 {
        self.version.get()
    }

    /// Counts a change and wakes everybody.
    pub fn notify(&self) {
        self.version.set(self.version.get() + 1);
        for waker in self.waiting.take() {
            waker.wake();
        }
    }

    /// Waits for a change after `version`, for at most `time`. Returns whether there was one.
    pub async fn changed(&self, version: u64, time: Duration) -> bool {
        let change = poll_fn(|context| {
            if self.version.get() == version {
                self.waiting.borrow_mut().push(context.waker().clone());
                Poll::Pending
            } else {
                Poll::Ready(true)
            }
        });
        let timeout = async {
            Timer::after(time).await;
            false
        };
        change.or(timeout).await
    }
}
