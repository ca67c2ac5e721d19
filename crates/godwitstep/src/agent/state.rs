//! State of an agent, and what it tells the entries.

use super::links::Links;
use super::requests::Requests;
use super::rules::Rules;
use super::settings::Settings;
use super::target::{self, Health};
use crate::link::{Link, LinkId};
use godwitstep_core::clock::Clock;
use godwitstep_core::id::Incarnation;
use godwitstep_core::reason::Reason;
use godwitstep_core::router;
use godwitstep_wire::{Announce, Frame, Heartbeat, Load, Peer, Role};
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
    pub(super) settings: Settings,
    pub(super) identity: Peer,
    clock: Arc<dyn Clock>,
    seen: Cell<Duration>,
    pub(super) links: RefCell<Links>,
    pub(super) rules: RefCell<Rules>,
    pub(super) requests: RefCell<Requests>,
    pub(super) target: Option<target::Target>,
    pub(super) health: Cell<Health>,
    pub(super) stopping: Cell<bool>,
}

impl Agent {
    pub(super) fn new(settings: Settings, clock: Arc<dyn Clock>) -> Self {
        let identity = Peer {
            name: settings.name.clone(),
            role: Role::Agent,
            incarnation: incarnation(clock.wall()),
            region: settings.region.clone(),
            domain: settings.domain.clone(),
        };
        let now = clock.now();
        Self {
            identity,
            seen: Cell::new(now),
            links: RefCell::default(),
            rules: RefCell::default(),
            requests: RefCell::new(Requests::new(now)),
            target: settings.target.as_ref().map(target::Target::new),
            // Announced once it has answered.
            health: Cell::new(Health::Gone),
            stopping: Cell::new(false),
            settings,
            clock,
        }
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
        let frame = Frame::Announce(self.announcement());
        self.links.borrow().send_all(&frame);
    }

    fn announcement(&self) -> Announce {
        let health = self.health.get();
        let target = self.settings.target.as_ref();
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
            worker: None,
            inventory: Vec::new(),
            leaving: self.stopping.get() || health == Health::Leaving,
        }
    }

    /// Sends a heartbeat on every link.
    pub(super) fn beat(&self) {
        let requests = self.requests.borrow();
        for entry in self.links.borrow_mut().iter_mut() {
            entry.sequence += 1;
            let load = self.target.as_ref().map(|_| Load {
                busy: requests.busy(),
                ours: requests.busy_of(entry.link.peer().incarnation),
            });
            entry.link.send(Frame::Heartbeat(Heartbeat {
                sequence: entry.sequence,
                load,
                busy_accelerators: None,
                rules: None,
                targets: Vec::new(),
            }));
        }
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
