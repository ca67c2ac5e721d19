//! State of an agent, and what it tells the entries.

use super::links::Links;
use super::parts::{self, Beside, Job};
use super::requests::Requests;
use super::rules::Rules;
use super::target::{self, Health};
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
use std::time::{Duration, SystemTime};

/// Time without a sign of life of this process after which it counts as having been paused.
///
/// What was received before the pause is out of date by then, and the buffers of the links may
/// hold heartbeats that are just as old.
const PAUSE_LIMIT: Duration = Duration::from_secs(1);

/// Everything that the tasks of one agent share. Never borrowed across an await.
pub(super) struct Agent {
    pub(super) settings: settings::Agent,
    pub(super) identity: Peer,
    clock: Arc<dyn Clock>,
    seen: Cell<Duration>,
    pub(super) links: RefCell<Links>,
    pub(super) rules: RefCell<Rules>,
    pub(super) requests: RefCell<Requests>,
    pub(super) target: Option<target::Target>,
    pub(super) health: Cell<Health>,
    pub(super) worker: Option<Beside>,
    pub(super) stopping: Cell<bool>,
    /// Number of pauses of this process that were noticed.
    pub(super) pauses: Cell<u64>,
}

impl Agent {
    /// Returns an agent, and what is to be done on its worker if it has one.
    pub(super) fn new(
        settings: settings::Agent,
        clock: Arc<dyn Clock>,
    ) -> (Self, Option<Receiver<Job>>) {
        let identity = Peer {
            name: settings.name.clone(),
            role: Role::Agent,
            incarnation: incarnation(clock.wall()),
            region: settings.region.clone(),
            domain: settings.domain.clone(),
        };
        let now = clock.now();
        let worker = settings
            .worker
            .as_ref()
            .map(|worker| Beside::new(worker, &settings.domain));
        let (worker, jobs) = worker.unzip();
        let agent = Self {
            identity,
            seen: Cell::new(now),
            links: RefCell::default(),
            rules: RefCell::default(),
            requests: RefCell::new(Requests::new(now)),
            target: settings.target.as_ref().map(target::Target::new),
            // Announced once it has answered.
            health: Cell::new(Health::Gone),
            worker,
            stopping: Cell::new(false),
            pauses: Cell::new(0),
            settings,
            clock,
        };
        (agent, jobs)
    }

    pub(super) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Notes that the process runs. After a pause, drops all links, because nothing that has come
    /// on them may be acted on; they are dialled again at once.
    pub(super) fn touch(&self) {
        let now = self.now();
        let gap = now.saturating_sub(self.seen.replace(now));
        if gap > PAUSE_LIMIT {
            tracing::warn!(?gap, "the process was paused; all links are dropped");
            self.pauses.set(self.pauses.get() + 1);
            self.links.borrow_mut().close_all();
        }
    }

    /// Reports why nothing may start on the instruction that came on a link, if that is so.
    pub(super) fn obstacle(&self, link: LinkId) -> Option<Reason> {
        if self.stopping.get() {
            return Some(Reason::Stopping);
        }
        let links = self.links.borrow();
        let word = links.get(link).and_then(|entry| entry.word);
        let rules = self.rules.borrow();
        rules.obstacle(&self.settings.domain, word, self.now())
    }

    /// Tells a new link what stands here, and sends the replies that wait for it.
    pub(super) fn greet(&self, link: Link) {
        // Ends come first, because a part that is in neither counts as lost.
        for end in parts::ends(self) {
            link.send(end);
        }
        link.send(Frame::Announce(self.announcement()));
        let incarnation = link.peer().incarnation;
        self.links.borrow_mut().add(link);
        self.beat();
        let waiting = self.requests.borrow_mut().take_unsent(incarnation);
        for reply in waiting {
            self.send_to(incarnation, reply);
        }
    }

    /// Tells all entries what stands here.
    pub(super) fn announce(&self) {
        parts::report(self);
        let frame = Frame::Announce(self.announcement());
        self.links.borrow().send_all(&frame);
    }

    fn announcement(&self) -> Announce {
        let health = self.health.get();
        let target = self.settings.target.as_ref();
        let beside = self.worker.as_ref().map(|beside| beside.parts.borrow());
        let parts = beside.filter(|parts| parts.up);
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
            worker: parts.as_ref().map(|_| self.described_worker()),
            inventory: parts.map_or_else(Vec::new, |parts| parts.table.inventory()),
            leaving: self.stopping.get() || health == Health::Leaving,
            epoch: self.rules.borrow().epoch(),
        }
    }

    fn described_worker(&self) -> planner::Worker {
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
    pub(super) fn beat(&self) {
        let requests = self.requests.borrow();
        let beside = self.worker.as_ref();
        let busy = beside.map(|beside| beside.parts.borrow().busy());
        for entry in self.links.borrow_mut().iter_mut() {
            entry.sequence += 1;
            let load = self.target.as_ref().map(|_| Load {
                busy: requests.busy(),
                ours: requests.busy_of(entry.link.peer().incarnation),
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

    /// Sends a frame on a link, if it is still open.
    pub(super) fn send_on(&self, link: LinkId, frame: Frame) {
        if let Some(entry) = self.links.borrow().get(link) {
            entry.link.send(frame);
        }
    }

    /// Returns the incarnation of the entry at the other end of a link.
    pub(super) fn peer_of(&self, link: LinkId) -> Option<Incarnation> {
        let links = self.links.borrow();
        Some(links.get(link)?.link.peer().incarnation)
    }

    /// Sends a reply to the entry with the given incarnation, or keeps it for a short time if that
    /// entry has no link at the moment.
    pub(super) fn send_to(&self, incarnation: Incarnation, reply: Frame) {
        if !self.links.borrow().send_to(incarnation, &reply) {
            let now = self.now();
            self.requests.borrow_mut().keep(incarnation, reply, now);
        }
    }
}

fn incarnation(wall: SystemTime) -> Incarnation {
    let since = wall.duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
    })
}
