//! The targets that this entry knows, and the choice among them.

use super::{Gone, Sequence, Target};
use crate::id::{DomainId, Incarnation, ServiceId, TargetId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Failures in a row after which a target counts as failing.
const FAILING: u32 = 5;
/// Time between probes of a failing target.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// Age after which a request whose caller was answered is taken off the count, if the agent no
/// longer reports it.
const ABANDONED_LIMIT: Duration = Duration::from_secs(1);

/// A target that is linked to this entry.
#[derive(Debug)]
pub struct Member {
    pub target: Target,
    /// Time of the last heartbeat; `None` while it must not be relied on.
    heard: Option<Duration>,
    /// Requests of other entries, as last reported.
    others: u32,
    /// Requests sent by this entry whose callers wait.
    sent: BTreeSet<Sequence>,
    /// Requests sent by this entry whose callers have been answered, with the time of that.
    abandoned: BTreeMap<Sequence, Duration>,
    pub leaving: bool,
    /// The agent refused a request for want of a slot or because of its rules; no more are sent
    /// until its next heartbeat.
    refusing: bool,
    failures: u32,
    next_probe: Duration,
}

/// All targets, linked or only known of.
#[derive(Debug, Default)]
pub struct Fleet {
    pub members: BTreeMap<TargetId, Member>,
    /// Failure domains out of service.
    out: BTreeSet<DomainId>,
    /// Lives of targets that can't be asked about keys, with the last time they were known.
    absent: BTreeMap<(ServiceId, TargetId, Incarnation), Duration>,
}

impl Member {
    fn new(target: Target) -> Self {
        Self {
            target,
            heard: None,
            others: 0,
            sent: BTreeSet::new(),
            abandoned: BTreeMap::new(),
            leaving: false,
            refusing: false,
            failures: 0,
            next_probe: Duration::ZERO,
        }
    }

    /// Returns the number of requests of this entry that the target is taken to run.
    pub fn ours(&self) -> usize {
        self.sent.len() + self.abandoned.len()
    }

    fn busy(&self) -> usize {
        self.ours() + self.others as usize
    }

    fn is_free(&self) -> bool {
        self.busy() < self.target.slots as usize
    }

    fn is_failing(&self) -> bool {
        self.failures >= FAILING
    }

    /// Compares load per slot without division: a/b < c/d exactly if a·d < c·b.
    fn load_order(&self, other: &Self) -> std::cmp::Ordering {
        let left = self.busy() as u64 * u64::from(other.target.slots);
        let right = other.busy() as u64 * u64::from(self.target.slots);
        left.cmp(&right)
    }

    pub fn send(&mut self, now: Duration, sequence: Sequence) {
        self.sent.insert(sequence);
        if self.is_failing() {
            self.next_probe = now + PROBE_INTERVAL;
        }
    }

    /// Takes a request off the count.
    pub fn settle(&mut self, sequence: Sequence) {
        self.sent.remove(&sequence);
        self.abandoned.remove(&sequence);
    }

    /// Keeps a request on the count although its caller was answered.
    pub fn abandon(&mut self, now: Duration, sequence: Sequence) {
        if self.sent.remove(&sequence) {
            self.abandoned.insert(sequence, now);
        }
    }

    pub const fn succeed(&mut self) {
        self.failures = 0;
    }

    pub const fn fail(&mut self, now: Duration) {
        self.failures = self.failures.saturating_add(1);
        if self.failures == FAILING {
            self.next_probe = now.saturating_add(PROBE_INTERVAL);
        }
    }

    pub const fn refuse(&mut self) {
        self.refusing = true;
    }
}

impl Fleet {
    /// Takes in an announcement. Returns the requests that an earlier life of the target loses.
    pub fn up(&mut self, now: Duration, target: Target, reliable: bool) -> BTreeSet<Sequence> {
        let id = target.id.clone();
        let same = |member: &Member| member.target.incarnation == target.incarnation;
        let lost = match self.members.get(&id) {
            Some(member) if same(member) => BTreeSet::new(),
            Some(member) => {
                let incarnation = member.target.incarnation;
                self.lose(now, &id, incarnation)
            }
            None => BTreeSet::new(),
        };
        let life = (target.service.clone(), id.clone(), target.incarnation);
        self.absent.remove(&life);
        let slots = target.slots.max(1);
        let member = self
            .members
            .entry(id)
            .or_insert_with(|| Member::new(target.clone()));
        member.target = Target { slots, ..target };
        member.leaving = false;
        member.refusing = false;
        if reliable {
            member.heard = Some(now);
        }
        lost
    }

    /// Notes a life of a target that was known at a time and is not linked.
    pub fn gone(
        &mut self,
        known: Duration,
        id: TargetId,
        incarnation: Incarnation,
        service: ServiceId,
    ) {
        let linked = self
            .members
            .get(&id)
            .is_some_and(|member| member.target.incarnation == incarnation);
        if !linked {
            let last = self.absent.entry((service, id, incarnation)).or_default();
            *last = known.max(*last);
        }
    }

    /// Returns the lives of targets that were known within the window and are not linked.
    pub fn absent(&self, now: Duration, window: Duration) -> Vec<Gone> {
        self.absent
            .iter()
            .filter(|(_, known)| **known + window > now)
            .map(|((service, id, incarnation), known)| Gone {
                id: id.clone(),
                incarnation: *incarnation,
                service: service.clone(),
                age: now.saturating_sub(*known),
            })
            .collect()
    }

    /// Removes a target. Returns the requests that are lost with it.
    pub fn lose(
        &mut self,
        now: Duration,
        id: &TargetId,
        incarnation: Incarnation,
    ) -> BTreeSet<Sequence> {
        let same = |member: &Member| member.target.incarnation == incarnation;
        if !self.members.get(id).is_some_and(same) {
            return BTreeSet::new();
        }
        let Some(member) = self.members.remove(id) else {
            return BTreeSet::new();
        };
        let life = (member.target.service, id.clone(), incarnation);
        self.absent.insert(life, now);
        member.sent
    }

    /// Takes in a heartbeat.
    pub fn load(&mut self, now: Duration, id: &TargetId, busy: u32, ours: u32, reliable: bool) {
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        member.others = busy.saturating_sub(ours);
        member.refusing = false;
        if reliable {
            member.heard = Some(now);
        }
        if ours as usize <= member.sent.len() {
            member
                .abandoned
                .retain(|_, since| *since + ABANDONED_LIMIT > now);
        }
    }

    pub fn domain(&mut self, id: DomainId, in_service: bool) {
        if in_service {
            self.out.remove(&id);
        } else {
            self.out.insert(id);
        }
    }

    /// Stops relying on any heartbeat received so far.
    pub fn distrust(&mut self) {
        for member in self.members.values_mut() {
            member.heard = None;
        }
    }

    pub fn of<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Member> + 'a {
        self.members
            .values()
            .filter(move |member| member.target.service == *service)
    }

    /// Reports whether a life of a target of the service can't be asked about keys.
    pub fn has_absent(&self, now: Duration, service: &ServiceId, window: Duration) -> bool {
        self.absent
            .iter()
            .any(|((of, _, _), known)| of == service && *known + window > now)
    }

    pub fn forget(&mut self, now: Duration, window: Duration) {
        self.absent.retain(|_, known| *known + window > now);
    }

    /// Reports whether the target may be sent to, now or once its heartbeat comes.
    pub fn has_prospect(&self, service: &ServiceId) -> bool {
        self.of(service)
            .any(|member| !member.leaving && !self.out.contains(&member.target.domain))
    }

    fn is_usable(&self, now: Duration, member: &Member, limit: Duration) -> bool {
        !member.leaving
            && !member.refusing
            && !self.out.contains(&member.target.domain)
            && member.heard.is_some_and(|heard| heard + limit > now)
    }

    /// Returns the slots of the service that other entries leave to this one, and at least one for
    /// each target. Targets whose heartbeat is late are counted: a short silence is no reason to
    /// refuse requests for want of capacity.
    pub fn slots(&self, service: &ServiceId) -> usize {
        self.of(service)
            .filter(|member| !member.leaving && !self.out.contains(&member.target.domain))
            .map(|member| member.target.slots.saturating_sub(member.others).max(1) as usize)
            .sum()
    }

    /// Reports whether a target of the service has a free slot.
    pub fn has_free(&self, now: Duration, service: &ServiceId, limit: Duration) -> bool {
        self.of(service)
            .any(|member| member.is_free() && self.is_usable(now, member, limit))
    }

    /// Returns the target with the lowest load per slot among those that have a free one.
    pub fn choose(
        &self,
        now: Duration,
        service: &ServiceId,
        limit: Duration,
        domain: &DomainId,
        allowed: impl Fn(&Member) -> bool,
    ) -> Option<TargetId> {
        let usable = |member: &&Member| self.is_usable(now, member, limit);
        // If all fail, the fault is not with one target, and leaving them out helps nobody.
        let others_work = self
            .of(service)
            .filter(usable)
            .any(|member| !member.is_failing());
        let sound = |member: &&Member| {
            !member.is_failing() || !others_work || (now >= member.next_probe && member.busy() == 0)
        };
        self.of(service)
            .filter(usable)
            .filter(|member| member.is_free() && allowed(member))
            .filter(sound)
            .min_by(|left, right| {
                left.load_order(right)
                    .then_with(|| {
                        let away = |member: &Member| member.target.domain != *domain;
                        away(left).cmp(&away(right))
                    })
                    .then_with(|| left.target.id.cmp(&right.target.id))
            })
            .map(|member| member.target.id.clone())
    }
}
