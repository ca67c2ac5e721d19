//! The handle of a link and its queue of outgoing frames.

use super::{MAX_QUEUED_BYTES, MAX_QUEUED_FRAMES};
use bytes::Bytes;
use godwitstep_wire::{Frame, Peer};
use smol::channel::{Receiver, Sender};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::fmt;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Identifies a link within this process; never reused.
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

/// What happens on links. For each link: `Up`, then frames, then `Down`.
///
/// A link that replaces another one of the same peer comes up after the other's `Down`.
#[derive(Debug)]
pub enum Event {
    /// A peer is linked and has proved that it knows the key.
    Up(Link),
    /// A frame has come.
    Frame(LinkId, Frame),
    /// The link is closed.
    Down {
        /// The link.
        id: LinkId,
        /// The peer.
        peer: Peer,
        /// Why.
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

/// Handle of a link. Clones are cheap and stand for the same link.
#[derive(Clone)]
pub struct Link(Rc<Shared>);

impl Link {
    /// Returns a link and the receiver that is notified whenever the queue changes.
    pub(super) fn new(peer: Peer) -> (Self, Receiver<()>) {
        let (wake, woken) = smol::channel::bounded(1);
        let link = Self(Rc::new(Shared {
            id: LinkId::next(),
            peer,
            queue: RefCell::default(),
            wake,
            end: smol::channel::bounded(1),
        }));
        (link, woken)
    }

    /// Returns who is at the other end.
    #[must_use]
    pub fn peer(&self) -> &Peer {
        &self.0.peer
    }

    /// Returns the identity of the link.
    #[must_use]
    pub fn id(&self) -> LinkId {
        self.0.id
    }

    /// Queues a frame and reports whether that was possible. `true` does not mean that the frame
    /// reaches the peer. A full queue closes the link, because frames must not be lost unnoticed.
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

    /// Closes the link after what is queued and a [`Frame::Goodbye`] have been sent, or after a
    /// short time if they can't be.
    pub fn close(&self) {
        if !self.is_closed() {
            self.enqueue(Frame::Goodbye.encode());
            self.end("closed by this process".to_owned());
        }
    }

    /// Closes the link with a reason; the first one counts.
    pub(super) fn end(&self, reason: String) {
        self.0.queue.borrow_mut().closed.get_or_insert(reason);
        self.0.end.0.close();
        self.wake();
    }

    /// Waits until the link is closed and returns why.
    pub(super) async fn ended(&self) -> String {
        // Nothing is ever sent here; closing the channel ends the wait.
        let _ = self.0.end.1.recv().await;
        self.reason().unwrap_or_default()
    }

    /// Reports whether the link is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.0.queue.borrow().closed.is_some()
    }

    /// Returns why the link is closed, if it is.
    pub(super) fn reason(&self) -> Option<String> {
        self.0.queue.borrow().closed.clone()
    }

    /// Reports whether there is nothing to send and the link is open.
    pub(super) fn is_idle(&self) -> bool {
        let queue = self.0.queue.borrow();
        queue.frames.is_empty() && queue.closed.is_none()
    }

    /// Takes the oldest queued frame.
    pub(super) fn pop(&self) -> Option<Bytes> {
        let mut queue = self.0.queue.borrow_mut();
        let bytes = queue.frames.pop_front()?;
        queue.bytes -= bytes.len();
        Some(bytes)
    }

    fn wake(&self) {
        // A notification that is still pending covers this change too.
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
