//! State shared by the modules of an entry.

use super::links::Links;
use super::stream::Stream;
use crate::caller::Frontend;
use crate::decider::Decider;
use crate::http::Signal;
use crate::http::budget::Budget;
use crate::settings;
use godwitstep_core::authority::OperatingMode;
use godwitstep_core::clock::Clock;
use godwitstep_core::registry::{self, Registry};
use godwitstep_wire::Peer;
use metrics_exporter_prometheus::PrometheusHandle;
use smol::LocalExecutor;
use std::cell::{Cell, OnceCell, RefCell};
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

/// State shared by all tasks of one entry. Its cells are never borrowed across an await.
pub(crate) struct State {
    pub(crate) settings: settings::Entry,
    pub(crate) identity: Peer,
    pub(super) clock: Arc<dyn Clock>,
    pub(crate) registry: RefCell<Registry>,
    pub(super) streams: [Stream; 2],
    pub(crate) links: RefCell<Links>,
    pub(crate) operating_mode: Cell<OperatingMode>,
    /// Time of the last change of the operating mode, on this entry's clock.
    pub(super) operating_mode_since: Cell<Duration>,
    /// The decider with its planner; `Some` while this entry holds the claim of its region.
    pub(crate) decider: RefCell<Option<Decider>>,
    /// The caller front end. Set before any task runs.
    pub(super) front: OnceCell<Rc<Frontend>>,
    pub(super) executor: Weak<LocalExecutor<'static>>,
    pub(super) metrics: PrometheusHandle,
    /// Memory and connections of the servers.
    pub(super) budget: Budget,
    /// Ends watch requests and servers on shutdown.
    pub(super) signal: Signal,
    pub(super) stopping: Cell<bool>,
}

impl State {
    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    pub(crate) const fn stream(&self, stream: registry::Stream) -> &Stream {
        &self.streams[stream as usize]
    }

    /// Spawns a task that is dropped when the entry ends.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(task).detach();
        }
    }

    /// Returns whether both streams were folded up to a recent tail since the start.
    pub(crate) fn is_ready(&self) -> bool {
        self.streams.iter().all(Stream::is_ready)
    }

    /// Returns the caller front end; `None` only while the entry is being set up.
    pub(super) fn front(&self) -> Option<&Rc<Frontend>> {
        self.front.get()
    }
}
