//! Memory and descriptors of a process under test, read from `/proc`.
//!
//! Bytes that the kernel has received for a process and that it has not read yet take memory of the same machine, so
//! they are read together with its resident memory.
//!
//! ```
//! use godwitstep_standin::usage::Watch;
//!
//! let usage = Watch::start(std::process::id()).finish();
//! assert!(usage.peak_kib > 0 && usage.descriptors > 0);
//! ```

use std::collections::HashSet;
use std::path::Path;
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
    /// Largest sum of the resident memory and the bytes that were received and not read at the same time. Unit: KiB.
    pub peak_with_unread_kib: u64,
    /// Largest number of bytes that were received and not read. Unit: KiB.
    pub unread_kib: u64,
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
        let sockets = Sockets::of_process(pid);
        let unread_kib = sockets.unread_bytes(pid) / 1_024;
        let resident_kib = status_kib(pid, "VmRSS:").unwrap_or_default();
        self.unread_kib = unread_kib.max(self.unread_kib);
        self.peak_with_unread_kib = (resident_kib + unread_kib).max(self.peak_with_unread_kib);
        self.descriptors = sockets.descriptors.max(self.descriptors);
    }
}

/// Returns the peak resident memory of a process in KiB; `None` once it has ended.
#[must_use]
pub fn peak_kib(pid: u32) -> Option<u64> {
    status_kib(pid, "VmHWM:")
}

/// Returns a field of a process's status in KiB; `None` once it has ended.
fn status_kib(pid: u32, field: &str) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with(field))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Descriptors of a process, and the inodes of the sockets among them.
struct Sockets {
    descriptors: usize,
    inodes: HashSet<u64>,
}

impl Sockets {
    fn of_process(pid: u32) -> Self {
        let links = std::fs::read_dir(format!("/proc/{pid}/fd"));
        let links = links.map_or_else(|_| Vec::new(), |entries| entries.flatten().collect());
        let inodes = links.iter().filter_map(|link| socket_inode(&link.path()));
        Self {
            descriptors: links.len(),
            inodes: inodes.collect(),
        }
    }

    /// Returns the bytes that the kernel holds for the process: of its connections, and of those that it has not accepted
    /// yet.
    fn unread_bytes(&self, pid: u32) -> u64 {
        // The table of the network that the process is in. It is empty once the process has ended.
        let table = std::fs::read_to_string(format!("/proc/{pid}/net/tcp")).unwrap_or_default();
        let connections: Vec<Connection> = table.lines().filter_map(Connection::parse).collect();
        let is_listener = |entry: &&Connection| entry.listens && self.inodes.contains(&entry.inode);
        let ports: HashSet<u16> = connections
            .iter()
            .filter(is_listener)
            .map(|entry| entry.local_port)
            .collect();
        let of_process = |entry: &&Connection| {
            let accepted = self.inodes.contains(&entry.inode);
            // The kernel gives a connection an inode when it is accepted.
            let waits = entry.inode == 0 && ports.contains(&entry.local_port);
            !entry.listens && (accepted || waits)
        };
        let unread = connections.iter().filter(of_process);
        unread.map(|entry| entry.unread).sum()
    }
}

fn socket_inode(link: &Path) -> Option<u64> {
    // "socket:[12345]"
    let target = std::fs::read_link(link).ok()?;
    let inode = target.to_str()?.strip_prefix("socket:[")?;
    inode.strip_suffix(']')?.parse().ok()
}

/// Row of the kernel's table of TCP sockets.
struct Connection {
    local_port: u16,
    listens: bool,
    /// Bytes in the receive queue.
    unread: u64,
    inode: u64,
}

impl Connection {
    /// State of a socket that listens, in the kernel's table.
    const LISTENS: &str = "0A";

    /// Parses a row: number, local address, remote address, state, queues ("sent:received"), and the inode as the tenth
    /// field. Returns `None` for the header.
    fn parse(row: &str) -> Option<Self> {
        let fields: Vec<&str> = row.split_whitespace().collect();
        let (_, port) = fields.get(1)?.rsplit_once(':')?;
        let (_, received) = fields.get(4)?.split_once(':')?;
        Some(Self {
            local_port: u16::from_str_radix(port, 16).ok()?,
            listens: *fields.get(3)? == Self::LISTENS,
            unread: u64::from_str_radix(received, 16).ok()?,
            inode: fields.get(9)?.parse().ok()?,
        })
    }
}
