//! Memory and descriptors of a process under test, read from `/proc`.
//!
//! ```
//! use godwitstep_standin::usage::Watch;
//!
//! let usage = Watch::start(std::process::id()).finish();
//! assert!(usage.peak_kib > 0 && usage.descriptors > 0);
//! ```

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Interval between two readings. Descriptors that are open for a shorter time may be missed.
const INTERVAL: Duration = Duration::from_millis(20);

/// What a process used at most while it was watched.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Peak resident memory since the start of the process. Unit: KiB.
    pub peak_kib: u64,
    /// Largest number of descriptors.
    pub descriptors: usize,
}

/// Thread that reads the usage of a process until it is finished.
#[derive(Debug)]
pub struct Watch {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Usage>,
}

impl Watch {
    /// Starts to read the usage of a process.
    #[must_use]
    pub fn start(pid: u32) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread = std::thread::spawn(move || {
            let mut usage = Usage::default();
            while !stopped.load(Ordering::Relaxed) {
                usage.update(pid);
                std::thread::sleep(INTERVAL);
            }
            usage.update(pid);
            usage
        });
        Self { stop, thread }
    }

    /// Returns the usage until now. A process that has ended keeps its last reading.
    ///
    /// # Panics
    ///
    /// Never: the thread does not panic.
    #[must_use]
    pub fn finish(self) -> Usage {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().expect("the thread does not panic")
    }
}

impl Usage {
    fn update(&mut self, pid: u32) {
        self.peak_kib = peak_kib(pid).unwrap_or_default().max(self.peak_kib);
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd"));
        let descriptors = descriptors.map_or(0, Iterator::count);
        self.descriptors = descriptors.max(self.descriptors);
    }
}

/// Returns the peak resident memory of a process in KiB; `None` once it has ended.
#[must_use]
pub fn peak_kib(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
