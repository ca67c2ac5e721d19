//! Authenticated links between the processes, over WebSocket and smol sockets.
//!
//! [`listen`] and [`dial`] are futures that run for as long as the owner polls them. They deliver
//! [`Event`]s on a bounded channel: [`Event::Up`], then frames, then [`Event::Down`]. Dropping the
//! future closes its links. All work runs on the thread that polls it.
//!
//! A link that receives nothing for [`IDLE_TIMEOUT`] is closed, so the owner sends a heartbeat on each
//! link every [`HEARTBEAT_INTERVAL`].
//!
//! ```
//! use godwitstep::link::{self, Event};
//! use godwitstep_wire::{Peer, Role, auth::Key};
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let peer = |name: &str, role| Peer {
//!     name: name.into(),
//!     role,
//!     incarnation: 1,
//!     region: "dk-vest".into(),
//!     domain: "dk-vest-a".into(),
//! };
//! let key = Key::new("an example of a key".into())?;
//! smol::block_on(async {
//!     let listener = smol::net::TcpListener::bind("127.0.0.1:0").await?;
//!     let address = listener.local_addr()?;
//!     let (events, inbox) = smol::channel::bounded(16);
//!     let (other, _) = smol::channel::bounded(16);
//!     let serve = link::listen(listener, peer("entry-1", Role::Entry), key.clone(), events);
//!     let call = link::dial(address, peer("agent-1", Role::Agent), key, other);
//!     let up = async {
//!         match inbox.recv().await {
//!             Ok(Event::Up(link)) => assert_eq!(&*link.peer().name, "agent-1"),
//!             event => panic!("expected a link, got {event:?}"),
//!         }
//!     };
//!     smol::future::or(up, smol::future::or(serve, call)).await;
//!     Ok(())
//! })
//! # }
//! ```

mod dial;
mod drive;
mod error;
mod handle;
mod handshake;
mod listen;

pub use dial::{connect, dial};
pub use error::{Cause, Error, Step};
pub use handle::{Event, Link, LinkId};
pub use handshake::Socket;
pub use listen::listen;

use std::time::Duration;

/// Interval at which the owner of a link sends heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time without received data after which a link is closed: three heartbeat intervals.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time limit of each step of the handshake.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of connections of a listener that have not finished their handshake.
pub const MAX_UNAUTHENTICATED: usize = 64;
/// Maximum number of frames in the send queue of one link.
pub const MAX_QUEUED_FRAMES: usize = 4_096;
/// Maximum total size of the frames in the send queue of one link. Unit: bytes.
pub const MAX_QUEUED_BYTES: usize = 16 * 1024 * 1024;
/// Shortest delay between two connection attempts, before jitter.
pub const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Longest delay between two connection attempts.
pub const MAX_BACKOFF: Duration = Duration::from_secs(1);
