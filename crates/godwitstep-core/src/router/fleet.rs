//! The targets known to this entry, and the selection among them.

use super::{Sequence, Target, UnreachableTarget};
use crate::id::{DomainId, Incarnation, ServiceId, TargetId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Consecutive failures after which a target is considered failing.
const FAILURE_THRESHOLD: u32 = 5;
/// Time between probes of a failing target.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// Age after which an abandoned request no longer counts as load, if the agent no longer reports
/// it.
const ABANDONED_TIMEOUT: Duration = Duration::from_secs(1);

/// A target that is linked to this entry.
#[derive(Debug)]
pub struct Member {
    pub target: Target,
    /// Time of the last heartbeat; `None` until a reliable one has arrived.
    last_heartbeat: Option<Duration>,
    /// Requests that it runs for other entries, as last reported.
    foreign: u32,
    /// Requests sent by this entry whose callers wait for the answer.
    in_flight: BTreeSet<Sequence>,
    /// Requests sent by this entry that may still run although their callers have been answered,
    /// with the time of that answer.
    abandoned: BTreeMap<Sequence, Duration>,
    pub leaving: bool,
    /// The agent refused a request because it has no free slot or by its own rules. No more
    /// requests are sent until its next heartbeat.
    refusing: bool,
    /// Consecutive failures.
    failures: u32,
    /// Time from which a failing target may be sent one request as a probe.
    next_probe: Duration,
}

/// All known targets, linked to this entry or not.
#[derive(Debug, Default)]
pub struct Fleet {
    pub members: BTreeMap<TargetId, Member>,
    /// Failure domains out of service.
    out_of_service: BTreeSet<DomainId>,
    /// Incarnations of targets that can't be fenced, each with the time at which it was last seen.
    unreachable: BTreeMap<(ServiceId, TargetId, Incarnation), Duration>,
}

impl Member {
    fn new(target: Target) -> Self {
        Self {
            target,
            last_heartbeat: None,
            foreign: 0,
            in_flight: BTreeSet::new(),
            abandoned: BTreeMap::new(),
            leaving: false,
            refusing: false,
            failures: 0,
            next_probe: Duration::ZERO,
        }
    }

    /// Returns the number of requests of this entry that the target is assumed to run.
    pub fn ours(&self) -> usize {
        self.in_flight.len() + self.abandoned.len()
    }

    fn busy(&self) -> usize {
        self.ours() + self.foreign as usize
    }

    fn is_free(&self) -> bool {
        self.busy() < self.target.slots as usize
    }

    fn is_failing(&self) -> bool {
        self.failures >= FAILURE_THRESHOLD
    }

    /// Compares the load per slot without division: a/b < c/d if and only if a·d < c·b.
    fn load_order(&self, other: &Self) -> std::cmp::Ordering {
        let left = self.busy() as u64 * u64::from(other.target.slots);
        let right = other.busy() as u64 * u64::from(self.target.slots);
        left.cmp(&right)
    }

    /// Counts a request as load of the target.
    pub fn record_send(&mut self, now: Duration, sequence: Sequence) {
        self.in_flight.insert(sequence);
        if self.is_failing() {
            self.next_probe = now + PROBE_INTERVAL;
        }
    }

    /// Stops counting a request as load of the target.
    pub fn release(&mut self, sequence: Sequence) {
        self.in_flight.remove(&sequence);
        self.abandoned.remove(&sequence);
    }

    /// Keeps counting a request as load although its caller has been answered.
    pub fn abandon(&mut self, now: Duration, sequence: Sequence) {
        if self.in_flight.remove(&sequence) {
            self.abandoned.insert(sequence, now);
        }
    }

    pub const fn record_success(&mut self) {
        self.failures = 0;
    }

    pub const fn record_failure(&mut self, now: Duration) {
        self.failures = self.failures.saturating_add(1);
        if self.failures == FAILURE_THRESHOLD {
            self.next_probe = now.saturating_add(PROBE_INTERVAL);
        }
    }

    pub const fn record_refusal(&mut self) {
        self.refusing = true;
    }
}

impl Fleet {
    /// Adds or updates an announced target. Returns the requests that were in flight to an earlier
    /// incarnation of it.
    pub fn announce(
        &mut self,
        now: Duration,
        target: Target,
        reliable: bool,
    ) -> BTreeSet<Sequence> {
        let id = target.id.clone();
        let same = |member: &Member| member.target.incarnation == target.incarnation;
        let lost = match self.members.get(&id) {
            Some(member) if same(member) => BTreeSet::new(),
            Some(member) => {
                let incarnation = member.target.incarnation;
                self.remove(now, &id, incarnation)
            }
            None => BTreeSet::new(),
        };
        let instance = (target.service.clone(), id.clone(), target.incarnation);
        self.unreachable.remove(&instance);
        let slots = target.slots.max(1);
        let member = self
            .members
            .entry(id)
            .or_insert_with(|| Member::new(target.clone()));
        member.target = Target { slots, ..target };
        member.leaving = false;
        member.refusing = false;
        if reliable {
            member.last_heartbeat = Some(now);
        }
        lost
    }

    /// Records an incarnation of a target that was seen at the given time, unless it is linked.
    pub fn record_unreachable(
        &mut self,
        seen: Duration,
        id: TargetId,
        incarnation: Incarnation,
        service: ServiceId,
    ) {
        let linked = self
            .members
            .get(&id)
            .is_some_and(|member| member.target.incarnation == incarnation);
        if !linked {
            let last_seen = self
                .unreachable
                .entry((service, id, incarnation))
                .or_default();
            *last_seen = seen.max(*last_seen);
        }
    }

    /// Returns the incarnations of targets that were seen within the window and are not linked.
    pub fn unreachable(&self, now: Duration, window: Duration) -> Vec<UnreachableTarget> {
        self.unreachable
            .iter()
            .filter(|(_, last_seen)| **last_seen + window > now)
            .map(
                |((service, id, incarnation), last_seen)| UnreachableTarget {
                    id: id.clone(),
                    incarnation: *incarnation,
                    service: service.clone(),
                    age: now.saturating_sub(*last_seen),
                },
            )
            .collect()
    }

    /// Removes an incarnation of a target and records it as unreachable. Returns the requests that
    /// were in flight to it.
    pub fn remove(
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
        let instance = (member.target.service, id.clone(), incarnation);
        self.unreachable.insert(instance, now);
        member.in_flight
    }

    /// Applies a heartbeat. One that is not reliable updates the load but not the time of the last
    /// heartbeat.
    pub fn record_heartbeat(
        &mut self,
        now: Duration,
        id: &TargetId,
        busy: u32,
        ours: u32,
        reliable: bool,
    ) {
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        member.foreign = busy.saturating_sub(ours);
        member.refusing = false;
        if reliable {
            member.last_heartbeat = Some(now);
        }
        if ours as usize <= member.in_flight.len() {
            member
                .abandoned
                .retain(|_, since| *since + ABANDONED_TIMEOUT > now);
        }
    }

    pub fn set_domain(&mut self, id: DomainId, in_service: bool) {
        if in_service {
            self.out_of_service.remove(&id);
        } else {
            self.out_of_service.insert(id);
        }
    }

    /// Invalidates the heartbeats received so far, so that no target is used until its next one.
    pub fn invalidate_heartbeats(&mut self) {
        for member in self.members.values_mut() {
            member.last_heartbeat = None;
        }
    }

    /// Returns the linked targets of a service.
    pub fn targets_of<'a>(
        &'a self,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = &'a Member> + 'a {
        self.members
            .values()
            .filter(move |member| member.target.service == *service)
    }

    /// Reports whether an incarnation of a target of the service was seen within the window and
    /// can't be fenced.
    pub fn has_unreachable(&self, now: Duration, service: &ServiceId, window: Duration) -> bool {
        self.unreachable
            .iter()
            .any(|((provided, _, _), last_seen)| provided == service && *last_seen + window > now)
    }

    /// Removes unreachable incarnations that were last seen before the window.
    pub fn expire_unreachable(&mut self, now: Duration, window: Duration) {
        self.unreachable
            .retain(|_, last_seen| *last_seen + window > now);
    }

    /// Reports whether the service has a target that can be sent requests now or after its next
    /// heartbeat.
    pub fn has_candidate(&self, service: &ServiceId) -> bool {
        self.targets_of(service)
            .any(|member| !member.leaving && !self.out_of_service.contains(&member.target.domain))
    }

    fn is_usable(&self, now: Duration, member: &Member, limit: Duration) -> bool {
        !member.leaving
            && !member.refusing
            && !self.out_of_service.contains(&member.target.domain)
            && member.last_heartbeat.is_some_and(|last| last + limit > now)
    }

    /// Returns the number of slots of the service that other entries leave to this one, at least
    /// one for each target. Targets with late heartbeats are counted, so that a short delay does
    /// not make the entry refuse requests for lack of capacity.
    pub fn slots(&self, service: &ServiceId) -> usize {
        self.targets_of(service)
            .filter(|member| {
                !member.leaving && !self.out_of_service.contains(&member.target.domain)
            })
            .map(|member| member.target.slots.saturating_sub(member.foreign).max(1) as usize)
            .sum()
    }

    /// Reports whether a target of the service has a free slot.
    pub fn has_free(&self, now: Duration, service: &ServiceId, limit: Duration) -> bool {
        self.targets_of(service)
            .any(|member| member.is_free() && self.is_usable(now, member, limit))
    }

    /// Returns the usable target with the lowest load per slot among those with a free slot. Ties
    /// go to targets in the entry's own failure domain.
    pub fn choose(
        &self,
        now: Duration,
        service: &ServiceId,
        limit: Duration,
        domain: &DomainId,
        allowed: impl Fn(&Member) -> bool,
    ) -> Option<TargetId> {
        let usable = |member: &&Member| self.is_usable(now, member, limit);
        // If all targets fail, the cause is not a single target and excluding them does not help.
        let any_healthy = self
            .targets_of(service)
            .filter(usable)
            .any(|member| !member.is_failing());
        let eligible = |member: &&Member| {
            !member.is_failing() || !any_healthy || (now >= member.next_probe && member.busy() == 0)
        };
        self.targets_of(service)
            .filter(usable)
            .filter(|member| member.is_free() && allowed(member))
            .filter(eligible)
            .min_by(|left, right| {
                left.load_order(right)
                    .then_with(|| {
                        let is_remote = |member: &Member| member.target.domain != *domain;
                        is_remote(left).cmp(&is_remote(right))
                    })
                    .then_with(|| left.target.id.cmp(&right.target.id))
            })
            .map(|member| member.target.id.clone())
    }
}
