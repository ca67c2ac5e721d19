//! One budget of memory and connections for all HTTP servers of a process.
//!
//! Callers are not trusted: a crowd of them must not make a process on a small host exceed its memory or descriptors,
//! nor keep ordinary requests from being answered. [`partition`] divides the process's resources once; [`connections`]
//! and [`admission`] decide who keeps a connection or memory when they are short. These decisions have no I/O; this
//! module applies them to connections and buffers. The alternatives are weighed in `docs/design/http-budget.md`.
//!
//! ```
//! use godwitstep::http::budget::{Budget, Part, Resources};
//!
//! let budget = Budget::new(Resources { memory: 120 << 20, files: 3_075 });
//! let callers = budget.server("callers", Part::Callers);
//! assert_eq!(callers.connections(), 512);
//! ```

pub mod admission;
mod clock;
pub mod connections;
mod gate;
mod machine;
pub mod partition;
mod pool;
pub mod pressure;
pub mod progress;
mod report;
mod shares;

use clock::Clock;
pub(super) use gate::{Gate, Place};
pub use partition::{Partition, Resources};
pub(super) use pool::{Buffer, Charge, Pool};
use std::cell::RefCell;
use std::rc::{Rc, Weak};

/// Part of the budget that a server uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// Callers, who are not trusted.
    Callers,
    /// Agents, workers, other entries, operators and checks, for which a part is reserved.
    Reserved,
}

/// Budget of a process. Clones share it.
#[derive(Debug, Clone)]
pub struct Budget {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    clock: Clock,
    partition: Partition,
    callers: Rc<Pool>,
    reserved: Rc<Pool>,
    gates: RefCell<Vec<Weak<Gate>>>,
}

/// Limits of one server within a [`Budget`].
#[derive(Debug, Clone)]
pub struct Server {
    budget: Budget,
    name: &'static str,
    part: Part,
    connections: usize,
}

impl Budget {
    /// Divides the resources of a process.
    #[must_use]
    pub fn new(resources: Resources) -> Self {
        Self::with_partition(Partition::new(resources))
    }

    /// Returns a budget that limits nothing but the number of connections.
    #[must_use]
    pub fn unlimited() -> Self {
        Self::with_partition(Partition::unlimited())
    }

    fn with_partition(partition: Partition) -> Self {
        let clock = Clock::start();
        Self {
            inner: Rc::new(Inner {
                clock,
                partition,
                callers: Pool::new("callers", clock, partition.callers.bodies),
                reserved: Pool::new("reserved", clock, partition.reserved.bodies),
                gates: RefCell::default(),
            }),
        }
    }

    /// Returns the limits of a server. `name` is used in logs and metrics.
    #[must_use]
    pub fn server(&self, name: &'static str, part: Part) -> Server {
        let partition = &self.inner.partition;
        let share = match part {
            Part::Callers => partition.callers,
            Part::Reserved => partition.reserved,
        };
        Server {
            budget: self.clone(),
            name,
            part,
            connections: share.connections,
        }
    }

    /// Updates the metrics and logs the ends of shortages. To be called before metrics are read and every few seconds.
    pub fn publish(&self) {
        self.inner.callers.publish();
        self.inner.reserved.publish();
        let mut gates = self.inner.gates.borrow_mut();
        gates.retain(|gate| gate.upgrade().inspect(|gate| gate.publish()).is_some());
    }
}

impl Server {
    /// Sets a connection limit below that of the budget.
    #[must_use]
    pub fn at_most(mut self, connections: usize) -> Self {
        self.connections = self.connections.min(connections);
        self
    }

    /// Returns the maximum number of connections.
    #[must_use]
    pub const fn connections(&self) -> usize {
        self.connections
    }

    /// Starts to account for the server's connections.
    pub(super) fn gate(&self) -> Rc<Gate> {
        let inner = &self.budget.inner;
        let (pool, memory) = match self.part {
            Part::Callers => (&inner.callers, partition::CALLER_CONNECTION),
            Part::Reserved => (&inner.reserved, partition::RESERVED_CONNECTION),
        };
        let pool = Rc::clone(pool);
        let gate = Gate::new(self.name, inner.clock, pool, self.connections, memory);
        inner.gates.borrow_mut().push(Rc::downgrade(&gate));
        gate
    }
}
