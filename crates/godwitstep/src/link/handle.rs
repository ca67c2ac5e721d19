//! Handle of a link, with its queue of outgoing frames.

use super::{MAX_QUEUED_BYTES, MAX_QUEUED_FRAMES};
use bytes::Bytes;
use godwitstep_wire::{Frame, Peer};
use smol::channel::{Receiver, Sender};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::fmt;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Identifier of a link, unique within this process and never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(u64);

impl LinkId {
    fn next() -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(1);
        Self(NEXT.fetch_add(1, Ordering::Relaxed))
    }
}

impl fmt::Display for LinkId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Event of a link. Each link delivers `Up`, then frames, then `Down`.
///
/// A link that replaces another link of the same peer delivers `Up` after the other's `Down`.
#[derive(Debug)]
pub enum Event {
    /// A link to an authenticated peer is open.
    Up(Link),
    /// A frame was received.
    Frame(LinkId, Frame),
    /// The link is closed.
    Down {
        /// Identifier of the closed link.
        id: LinkId,
        /// Process at the other end.
        peer: Peer,
        /// Why the link was closed, for logs.
        reason: String,
    },
}

#[derive(Default)]
struct Queue {
    frames: VecDeque<Bytes>,
    bytes: usize,
    closed: Option<String>,
}

struct Shared {
    id: LinkId,
    peer: Peer,
    queue: RefCell<Queue>,
    wake: Sender<()>,
    /// Closed together with the link.
    end: (Sender<()>, Receiver<()>),
}

/// Handle of a link. Clones are cheap and refer to the same link.
#[derive(Clone)]
pub struct Link(Rc<Shared>);

impl Link {
    /// Returns a link and the receiver that is notified whenever the queue changes.
    pub(super) fn new(peer: Peer) -> (Self, Receiver<()>) {
        let (wake, queue_changed) = smol::channel::bounded(1);
        let link = Self(Rc::new(Shared {
            id: LinkId::next(),
            peer,
            queue: RefCell::default(),
            wake,
            end: smol::channel::bounded(1),
        }));
        (link, queue_changed)
    }

    /// Returns the process at the other end.
    #[must_use]
    pub fn peer(&self) -> &Peer {
        &self.0.peer
    }

    /// Returns the identifier of the link.
    #[must_use]
    pub fn id(&self) -> LinkId {
        self.0.id
    }

    /// Queues a frame and returns whether it was queued; delivery to the peer is not guaranteed. A
    /// full queue closes the link, because frames must not be dropped silently.
    #[allow(clippy::needless_pass_by_value)]
    pub fn send(&self, frame: Frame) -> bool {
        if self.is_closed() {
            return false;
        }
        self.enqueue(frame.encode())
    }

    fn enqueue(&self, bytes: Bytes) -> bool {
        let mut queue = self.0.queue.borrow_mut();
        if queue.frames.len() >= MAX_QUEUED_FRAMES || queue.bytes + bytes.len() > MAX_QUEUED_BYTES {
            let (frames, bytes) = (queue.frames.len(), queue.bytes);
            drop(queue);
            self.end(format!(
                "outgoing queue is full with {frames} frames and {bytes} bytes"
            ));
            return false;
        }
        queue.bytes += bytes.len();
        queue.frames.push_back(bytes);
        drop(queue);
        self.wake();
        true
    }

    /// Closes the link once the queued frames and a [`Frame::Goodbye`] have been sent, or after a
    /// short timeout.
    pub fn close(&self) {
        if !self.is_closed() {
            self.enqueue(Frame::Goodbye.encode());
            self.end("closed by this process".to_owned());
        }
    }

    /// Closes the link with a reason; only the first reason is kept.
    pub(super) fn end(&self, reason: String) {
        self.0.queue.borrow_mut().closed.get_or_insert(reason);
        self.0.end.0.close();
        self.wake();
    }

    /// Waits until the link is closed and returns the reason.
    pub(super) async fn ended(&self) -> String {
        // Nothing is ever sent on this channel; closing it ends the wait.
        let _ = self.0.end.1.recv().await;
        self.reason().unwrap_or_default()
    }

    /// Returns whether the link is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.0.queue.borrow().closed.is_some()
    }

    /// Returns the reason why the link was closed, or `None` while it is open.
    pub(super) fn reason(&self) -> Option<String> {
        self.0.queue.borrow().closed.clone()
    }

    /// Returns whether the link is open and its send queue is empty.
    pub(super) fn is_idle(&self) -> bool {
        let queue = self.0.queue.borrow();
        queue.frames.is_empty() && queue.closed.is_none()
    }

    /// Removes and returns the oldest queued frame.
    pub(super) fn pop(&self) -> Option<Bytes> {
        let mut queue = self.0.queue.borrow_mut();
        let bytes = queue.frames.pop_front()?;
        queue.bytes -= bytes.len();
        Some(bytes)
    }

    fn wake(&self) {
        // If the channel is full, the pending notification covers this change too.
        let _ = self.0.wake.try_send(());
    }
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Link")
            .field("id", &self.0.id.0)
            .field("peer", &self.0.peer)
            .finish_non_exhaustive()
    }
}
