//! A change counter that any number of tasks on one thread can wait on.

use smol::Timer;
use smol::future::FutureExt;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};
use std::time::Duration;

/// Counts changes and wakes the tasks that wait for one.
#[derive(Debug, Default)]
pub(super) struct ChangeNotifier {
    version: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl ChangeNotifier {
    /// Returns the number of changes so far.
    pub fn version(&self) -> u64 {
        self.version.get()
    }

    /// Counts a change and wakes all waiting tasks.
    pub fn notify(&self) {
        self.version.set(self.version.get() + 1);
        for waker in self.wakers.take() {
            waker.wake();
        }
    }

    /// Waits until the count differs from `version`, for at most `max_wait`. Returns false on timeout.
    pub async fn changed(&self, version: u64, max_wait: Duration) -> bool {
        let change = poll_fn(|context| {
            if self.version.get() == version {
                let mut wakers = self.wakers.borrow_mut();
                // A task that waits again and again must not add a waker each time.
                let waits = |waker: &Waker| waker.will_wake(context.waker());
                if !wakers.last().is_some_and(waits) {
                    wakers.push(context.waker().clone());
                }
                Poll::Pending
            } else {
                Poll::Ready(true)
            }
        });
        let timeout = async {
            Timer::after(max_wait).await;
            false
        };
        change.or(timeout).await
    }
}
