//! Request bodies that a group of servers holds in memory, and their buffers.

use super::admission::{Admission, BodyId, Refusal, Sender};
use super::clock::Clock;
use super::pressure::Pressure;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// Memory for the bodies of a group of servers.
#[derive(Debug)]
pub struct Pool {
    /// Name in logs and metrics.
    name: &'static str,
    clock: Clock,
    admission: RefCell<Admission>,
    buffers: RefCell<HashMap<BodyId, Rc<Buffer>>>,
    pressure: RefCell<Pressure>,
}

/// Buffer of a body. The pool can free it at any time, without waiting for the task that fills it.
#[derive(Debug, Default)]
pub struct Buffer {
    bytes: RefCell<Vec<u8>>,
    displaced: Cell<bool>,
    /// Task that fills the buffer.
    waker: RefCell<Option<Waker>>,
}

/// Charge of a body, released on drop.
#[derive(Debug)]
pub struct Charge {
    pool: Rc<Pool>,
    id: BodyId,
}

impl Pool {
    /// Returns a pool for bodies of `capacity` bytes in all.
    pub fn new(name: &'static str, clock: Clock, capacity: usize) -> Rc<Self> {
        Rc::new(Self {
            name,
            clock,
            admission: RefCell::new(Admission::new(capacity)),
            buffers: RefCell::default(),
            pressure: RefCell::default(),
        })
    }

    /// Returns the name in logs and metrics.
    pub const fn name(&self) -> &'static str {
        self.name
    }

    /// Registers a body and returns its charge, which is 0 bytes at first.
    pub fn begin(self: &Rc<Self>, sender: Sender, buffer: &Rc<Buffer>) -> Charge {
        let id = self.admission.borrow_mut().begin(self.clock.now(), sender);
        self.buffers.borrow_mut().insert(id, Rc::clone(buffer));
        let pool = Rc::clone(self);
        Charge { pool, id }
    }

    /// Charges a response that is sent.
    pub fn begin_response(self: &Rc<Self>, sender: Sender, bytes: usize) -> Charge {
        let mut admission = self.admission.borrow_mut();
        let id = admission.begin(self.clock.now(), sender);
        admission.respond(id, bytes);
        let pool = Rc::clone(self);
        Charge { pool, id }
    }

    /// Returns whether responses have brought the charges beyond the capacity.
    pub fn is_exceeded(&self) -> bool {
        self.admission.borrow().is_exceeded()
    }

    /// Updates the metrics and logs the end of a shortage.
    pub fn publish(&self) {
        let now = self.clock.now();
        super::report::held("body", self.name, self.admission.borrow().held());
        let ended = self.pressure.borrow_mut().take_ended(now);
        if let Some(shortage) = ended {
            super::report::shortage_ended(self.name, "memory", &shortage, now);
        }
    }

    /// Counts a refused or displaced body.
    fn record(&self, reason: &'static str) {
        super::report::refusal(self.name, reason);
        if self.pressure.borrow_mut().record(self.clock.now()) {
            super::report::shortage_began(self.name, "memory", reason);
        }
    }

    fn displace(&self, ids: Vec<BodyId>) {
        for id in ids {
            let buffer = self.buffers.borrow_mut().remove(&id);
            if let Some(buffer) = buffer {
                buffer.displace();
            }
            self.record("displaced");
        }
    }
}

impl Charge {
    /// Raises the charge before the buffer grows. Other bodies may be displaced and their buffers freed.
    ///
    /// # Errors
    ///
    /// Returns an error if the memory is needed by others.
    pub fn grow(&self, bytes: usize) -> Result<(), Refusal> {
        let now = self.pool.clock.now();
        let growth = self.pool.admission.borrow_mut().grow(now, self.id, bytes);
        self.pool.displace(growth.displaced);
        match growth.refusal {
            Some(refusal) => {
                self.pool.record(reason(refusal));
                Err(refusal)
            }
            None => Ok(()),
        }
    }

    /// Counts received bytes as progress.
    pub fn receive(&self, bytes: usize) {
        let now = self.pool.clock.now();
        let mut admission = self.pool.admission.borrow_mut();
        admission.receive(now, self.id, bytes);
    }

    /// Marks the body as complete and passed on, after which it is not displaced.
    ///
    /// # Errors
    ///
    /// Returns an error if too many requests are in progress.
    pub fn pass_on(&self) -> Result<(), Refusal> {
        let result = self.pool.admission.borrow_mut().pass_on(self.id);
        result.inspect_err(|refusal| self.pool.record(reason(*refusal)))
    }

    /// Lowers the charge to what is still needed of the body.
    pub fn shrink(&self, bytes: usize) {
        self.pool.admission.borrow_mut().shrink(self.id, bytes);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.pool.admission.borrow_mut().end(self.id);
        self.pool.buffers.borrow_mut().remove(&self.id);
    }
}

impl Buffer {
    /// Returns [`Poll::Ready`] if the buffer was freed for another body. Otherwise the task is woken when that happens.
    pub fn poll_displaced(&self, context: &Context<'_>) -> Poll<()> {
        if self.displaced.get() {
            return Poll::Ready(());
        }
        let mut waker = self.waker.borrow_mut();
        match &mut *waker {
            Some(waker) => waker.clone_from(context.waker()),
            None => *waker = Some(context.waker().clone()),
        }
        Poll::Pending
    }

    /// Returns the number of bytes that it holds and its capacity.
    pub fn size(&self) -> Size {
        let bytes = self.bytes.borrow();
        Size {
            filled: bytes.len(),
            capacity: bytes.capacity(),
        }
    }

    /// Grows to a capacity that has been charged, and no further.
    pub fn grow(&self, capacity: usize) {
        let mut bytes = self.bytes.borrow_mut();
        let more = capacity.saturating_sub(bytes.len());
        bytes.reserve_exact(more);
    }

    /// Appends bytes for which there is capacity.
    pub fn append(&self, part: &[u8]) {
        self.bytes.borrow_mut().extend_from_slice(part);
    }

    /// Returns the bytes and leaves nothing.
    pub fn take(&self) -> Vec<u8> {
        self.bytes.take()
    }

    fn displace(&self) {
        self.displaced.set(true);
        drop(self.bytes.take());
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

/// Size of a [`Buffer`]. Unit: bytes.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Bytes that have been received.
    pub filled: usize,
    /// Bytes that it can hold without growing.
    pub capacity: usize,
}

const fn reason(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::MemoryShort => "memory",
        Refusal::RequestsInProgress => "in_progress",
        Refusal::Displaced => "displaced",
    }
}
