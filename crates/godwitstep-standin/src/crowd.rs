//! A crowd of HTTP clients that make a server hold memory and connections.
//!
//! Each client stays within the limits of a single request, as far as it has sent it: its body is not longer than the
//! server allows and its head is not larger. The clients complete no request with a body and read no further than they
//! need to notice the end of a connection. Whenever a server closes a connection, its client opens another one, so the
//! number of clients is also the maximum number of connections.
//!
//! ```
//! use godwitstep_standin::crowd::{Behaviour, Client, Crowd};
//!
//! let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
//! let client = Client {
//!     behaviour: Behaviour::WholeBody,
//!     head: "POST / HTTP/1.1\r\nhost: x\r\n".to_owned(),
//!     body_bytes: 1_000,
//! };
//! let crowd = Crowd::start(listener.local_addr()?, vec![client])?;
//! let (_connection, _) = listener.accept()?;
//! assert_eq!(crowd.stop().clients, 1);
//! # Ok::<(), std::io::Error>(())
//! ```

mod client;

pub use client::{Behaviour, Client};

use crate::serve::{ServerThread, lock};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// Number of threads that share the clients. One thread writes slower than a server reads.
const THREADS: usize = 4;

/// What the clients of a crowd have done so far.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// Number of clients.
    pub clients: usize,
    /// Number of connections that were opened.
    pub connections: u64,
    /// Number of bytes that were sent, of all connections.
    pub bytes: u64,
    /// Number of connections on which a response arrived, by its status.
    pub statuses: BTreeMap<u16, u64>,
}

/// Counters that the clients share.
#[derive(Debug, Default)]
struct Counters {
    /// Number of clients that have sent all they have to send, or lost a connection, at least once.
    arrived: AtomicUsize,
    connections: AtomicU64,
    bytes: AtomicU64,
    statuses: Mutex<BTreeMap<u16, u64>>,
}

/// A running crowd, which closes its connections when it is dropped.
#[derive(Debug)]
pub struct Crowd {
    clients: usize,
    counters: Arc<Counters>,
    threads: Vec<ServerThread>,
}

impl Crowd {
    /// Starts clients that connect to a server at the same time.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system cannot start a thread.
    pub fn start(server: SocketAddr, clients: Vec<Client>) -> io::Result<Self> {
        let counters = Arc::new(Counters::default());
        let number = clients.len();
        let mut groups: Vec<Vec<Client>> = (0..THREADS).map(|_| Vec::new()).collect();
        for (index, client) in clients.into_iter().enumerate() {
            groups[index % THREADS].push(client);
        }
        let start = |group: Vec<Client>| {
            let counters = Arc::clone(&counters);
            ServerThread::start("standin-crowd", move |spawner| {
                for client in group {
                    spawner.spawn(client::run(Rc::new(client), server, Arc::clone(&counters)));
                }
            })
        };
        let threads = groups.into_iter().map(start).collect::<Result<_, _>>()?;
        Ok(Self {
            clients: number,
            counters,
            threads,
        })
    }

    /// Returns whether each client has sent all it has to send, or lost a connection, at least once.
    #[must_use]
    pub fn has_arrived(&self) -> bool {
        self.counters.arrived.load(Ordering::Relaxed) == self.clients
    }

    /// Closes all connections and returns what the clients did.
    #[must_use]
    pub fn stop(self) -> Report {
        let Self {
            clients,
            counters,
            threads,
        } = self;
        drop(threads);
        Report {
            clients,
            connections: counters.connections.load(Ordering::Relaxed),
            bytes: counters.bytes.load(Ordering::Relaxed),
            statuses: lock(&counters.statuses).clone(),
        }
    }
}
