//! State of an agent, and its announcements and heartbeats to the entries.

use super::links::Links;
use super::parts::{self, WorkerAction, WorkerHandle};
use super::requests::Requests;
use super::rules::Rules;
use super::target::{self, Health};
use crate::incarnation::incarnation;
use crate::link::{Link, LinkId};
use crate::settings;
use godwitstep_core::clock::Clock;
use godwitstep_core::id::Incarnation;
use godwitstep_core::reason::Reason;
use godwitstep_core::{planner, router};
use godwitstep_wire::{Announce, Frame, Heartbeat, Load, Peer, Role};
use smol::channel::Receiver;
use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::Duration;

/// Gap between two activity checks after which the process counts as having been paused.
///
/// State received before such a pause is out of date, and so are heartbeats that may still be in
/// the links' buffers.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// State shared by all tasks of one agent. Its cells are never borrowed across an await.
pub(super) struct Agent {
    pub(super) settings: settings::Agent,
    pub(super) identity: Peer,
    clock: Arc<dyn Clock>,
    last_active: Cell<Duration>,
    pub(super) links: RefCell<Links>,
    pub(super) rules: RefCell<Rules>,
    pub(super) requests: RefCell<Requests>,
    pub(super) target: Option<target::Target>,
    pub(super) health: Cell<Health>,
    pub(super) worker: Option<WorkerHandle>,
    pub(super) stopping: Cell<bool>,
    /// Number of detected pauses of this process.
    pub(super) pauses: Cell<u64>,
}

impl Agent {
    /// Returns an agent, and the queue of actions on its worker if it has one.
    pub(super) fn new(
        settings: settings::Agent,
        clock: Arc<dyn Clock>,
    ) -> (Self, Option<Receiver<WorkerAction>>) {
        let identity = Peer {
            name: settings.name.clone(),
            role: Role::Agent,
            incarnation: incarnation(&settings.name, clock.wall()),
            region: settings.region.clone(),
            domain: settings.domain.clone(),
        };
        let now = clock.now();
        let worker = settings
            .worker
            .as_ref()
            .map(|worker| WorkerHandle::new(worker, &settings.domain));
        let (worker, actions) = worker.unzip();
        let agent = Self {
            identity,
            last_active: Cell::new(now),
            links: RefCell::default(),
            rules: RefCell::default(),
            requests: RefCell::new(Requests::new(now)),
            target: settings.target.as_ref().map(target::Target::new),
            // The target is announced after its first successful health check.
            health: Cell::new(Health::Gone),
            worker,
            stopping: Cell::new(false),
            pauses: Cell::new(0),
            settings,
            clock,
        };
        (agent, actions)
    }

    pub(super) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Detects whether the process was paused since the last call. After a pause, closes all links,
    /// because nothing received on them may be acted on; they are dialled again at once.
    pub(super) fn detect_pause(&self) {
        let now = self.now();
        let gap = now.saturating_sub(self.last_active.replace(now));
        if gap > PAUSE_THRESHOLD {
            tracing::warn!(?gap, "process was paused; closing all links");
            self.pauses.set(self.pauses.get() + 1);
            self.links.borrow_mut().close_all();
        }
    }

    /// Returns why nothing may start on an instruction received on a link; `None` if it may.
    pub(super) fn start_refusal(&self, link: LinkId) -> Option<Reason> {
        if self.stopping.get() {
            return Some(Reason::Stopping);
        }
        let links = self.links.borrow();
        let status = links.get(link).and_then(|entry| entry.status);
        let rules = self.rules.borrow();
        rules.start_refusal(&self.settings.domain, status, self.now())
    }

    /// Announces this agent on a new link, and sends the replies kept for its entry.
    pub(super) fn announce_on(&self, link: Link) {
        // Ends are sent first, because a part that is in neither an end nor the inventory counts as
        // lost.
        for end in parts::unacknowledged_ends(self) {
            link.send(end);
        }
        link.send(Frame::Announce(self.announcement()));
        let incarnation = link.peer().incarnation;
        self.links.borrow_mut().add(link);
        self.send_heartbeats();
        let unsent = self.requests.borrow_mut().take_unsent(incarnation);
        for reply in unsent {
            self.send_to(incarnation, reply);
        }
    }

    /// Announces the current target and worker to all entries, after any unacknowledged ends.
    pub(super) fn announce(&self) {
        parts::report_ends(self);
        let frame = Frame::Announce(self.announcement());
        self.links.borrow().send_all(&frame);
    }

    fn announcement(&self) -> Announce {
        let health = self.health.get();
        let target = self.settings.target.as_ref();
        let worker = self.worker.as_ref().map(|worker| worker.parts.borrow());
        let parts = worker.filter(|parts| parts.up);
        Announce {
            target: target
                .filter(|_| health != Health::Gone)
                .map(|target| router::Target {
                    id: self.settings.name.clone(),
                    incarnation: self.identity.incarnation,
                    service: target.service.clone(),
                    domain: self.settings.domain.clone(),
                    slots: target.slots,
                }),
            worker: parts.as_ref().map(|_| self.worker_description()),
            inventory: parts.map_or_else(Vec::new, |parts| parts.table.inventory()),
            leaving: self.stopping.get() || health == Health::Leaving,
            epoch: self.rules.borrow().epoch(),
        }
    }

    fn worker_description(&self) -> planner::Worker {
        let worker = self.settings.worker.as_ref();
        planner::Worker {
            id: self.settings.name.clone(),
            incarnation: self.identity.incarnation,
            domain: self.settings.domain.clone(),
            rack: self.settings.rack.clone(),
            accelerators: worker.map_or(0, |worker| worker.accelerators),
        }
    }

    /// Sends a heartbeat on every link.
    pub(super) fn send_heartbeats(&self) {
        let requests = self.requests.borrow();
        let worker = self.worker.as_ref();
        let busy = worker.map(|worker| worker.parts.borrow().busy());
        for entry in self.links.borrow_mut().iter_mut() {
            entry.sequence += 1;
            let load = self.target.as_ref().map(|_| Load {
                busy: requests.busy(),
                from_receiver: requests.busy_from(entry.link.peer().incarnation),
            });
            entry.link.send(Frame::Heartbeat(Heartbeat {
                sequence: entry.sequence,
                load,
                busy_accelerators: busy,
                rules: None,
                targets: Vec::new(),
            }));
        }
    }

    /// Sends a frame on a link; does nothing if the link is closed.
    pub(super) fn send_on(&self, link: LinkId, frame: Frame) {
        if let Some(entry) = self.links.borrow().get(link) {
            entry.link.send(frame);
        }
    }

    /// Returns the incarnation of the entry at the other end of a link.
    pub(super) fn peer_incarnation(&self, link: LinkId) -> Option<Incarnation> {
        let links = self.links.borrow();
        Some(links.get(link)?.link.peer().incarnation)
    }

    /// Sends a reply to the entry with the given incarnation, or keeps it for a short time while
    /// that entry has no link.
    pub(super) fn send_to(&self, incarnation: Incarnation, reply: Frame) {
        if !self.links.borrow().send_to(incarnation, &reply) {
            let now = self.now();
            self.requests
                .borrow_mut()
                .keep_unsent(incarnation, reply, now);
        }
    }
}
