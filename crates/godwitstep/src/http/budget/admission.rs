//! Decides which request bodies are held in memory. No I/O.
//!
//! Answers two kinds of load: many large bodies at once, and many chunked bodies at once, most of which stop just short
//! of their end and stay open. Each body is charged by the capacity of its buffer before the buffer grows. While memory
//! is short:
//!
//! * An ordinary request (up to [`ORDINARY`] bytes) of a group within its equal share is always admitted. It displaces
//!   the body with the least progress. A quarter of the memory is closed to larger bodies and to requests in progress.
//! * A group beyond its share displaces only its own bodies and those of other groups beyond theirs.
//! * A larger body displaces only bodies with less progress than its own, or of groups beyond their equal share.
//!   Otherwise it is refused itself.
//! * A complete body that was passed on is never displaced, because its request may have run.

use super::progress::{ORDINARY, Progress};
use super::shares::Shares;
use std::cmp::Ordering;
use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

/// Identifier of a body, unique within an [`Admission`].
pub type BodyId = u64;
/// Digest of the key or workspace on whose behalf a client sends.
pub type Group = u64;

/// Divisor of the part of the memory that large bodies and requests in progress leave free for ordinary requests.
const ORDINARY_DIVISOR: usize = 4;

/// Why a body is not admitted. Its request has not been passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The memory is held by bodies with more progress.
    MemoryShort,
    /// The requests that were passed on and have not ended hold their whole part of the memory.
    RequestsInProgress,
    /// The body was displaced, or its holder is unknown.
    Displaced,
}

/// Client that sends a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sender {
    /// Address of the peer; a load balancer's if there is one.
    pub peer: Option<IpAddr>,
    /// Group on whose behalf it sends, if known.
    pub group: Option<Group>,
}

/// Result of [`Admission::grow`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use]
pub struct Growth {
    /// Bodies that were displaced. Their charges have been released, so their buffers have to be freed.
    pub displaced: Vec<BodyId>,
    /// Why the body may not grow.
    pub refusal: Option<Refusal>,
}

impl Sender {
    /// Returns whether both senders are of the same group, or of the same peer if a group is not known.
    fn is_related(&self, other: &Self) -> bool {
        match (self.group, other.group) {
            (Some(group), Some(other)) => group == other,
            _ => self.peer.is_some() && self.peer == other.peer,
        }
    }
}

#[derive(Debug)]
struct Holder {
    sender: Sender,
    /// Charged memory. Unit: bytes.
    charge: usize,
    progress: Progress,
    stage: Stage,
}

/// What a charge is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// A body that is being received.
    Receiving,
    /// A request that was passed on.
    InProgress,
    /// A response that is being sent.
    Responding,
}

impl Holder {
    /// Returns the part of the charge that an ordinary request does not have.
    const fn excess(&self) -> usize {
        self.charge.saturating_sub(ORDINARY)
    }
}

/// Charges of all bodies of a group of servers.
///
/// Invariants: `held` is the sum of all charges; `excess` is the sum of the charges above [`ORDINARY`] and `in_progress`
/// that of bodies passed on. Without responses, `held` is at most `capacity`, and the others at most `capacity` less the
/// part for ordinary requests.
#[derive(Debug)]
pub struct Admission {
    capacity: usize,
    held: usize,
    excess: usize,
    in_progress: usize,
    holders: HashMap<BodyId, Holder>,
    groups: Shares<Group>,
    peers: Shares<IpAddr>,
    next: BodyId,
}

impl Admission {
    /// Returns an instance that holds nothing. `capacity` is in bytes.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            held: 0,
            excess: 0,
            in_progress: 0,
            holders: HashMap::new(),
            groups: Shares::default(),
            peers: Shares::default(),
            next: 0,
        }
    }

    /// Returns the charged memory. Unit: bytes.
    #[must_use]
    pub const fn held(&self) -> usize {
        self.held
    }

    /// Returns the charged memory of requests that were passed on. Unit: bytes.
    #[must_use]
    pub const fn in_progress(&self) -> usize {
        self.in_progress
    }

    /// Returns whether no body is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty() && self.groups.is_empty() && self.peers.is_empty()
    }

    /// Registers a body without memory.
    pub fn begin(&mut self, now: Duration, sender: Sender) -> BodyId {
        let id = self.next;
        self.next += 1;
        let holder = Holder {
            sender,
            charge: 0,
            progress: Progress::new(now),
            stage: Stage::Receiving,
        };
        self.holders.insert(id, holder);
        id
    }

    /// Counts received bytes as progress.
    pub fn receive(&mut self, now: Duration, id: BodyId, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.progress.add(now, bytes);
        }
    }

    /// Raises the charge of a body that is being received, before its buffer grows. Without success its charge is
    /// unchanged.
    pub fn grow(&mut self, now: Duration, id: BodyId, charge: usize) -> Growth {
        let mut displaced = Vec::new();
        let Some(holder) = self.holders.get(&id) else {
            let refusal = Some(Refusal::Displaced);
            return Growth { displaced, refusal };
        };
        let more = charge.saturating_sub(holder.charge);
        let more_excess = charge.saturating_sub(ORDINARY.max(holder.charge));
        while let Some(shortage) = self.shortage(more, more_excess) {
            let Some(victim) = self.victim(now, id, charge, shortage) else {
                let refusal = Some(Refusal::MemoryShort);
                return Growth { displaced, refusal };
            };
            self.end(victim);
            displaced.push(victim);
        }
        if more > 0 {
            self.set_charge(id, charge);
        }
        let refusal = None;
        Growth { displaced, refusal }
    }

    /// Marks a complete body as passed on: from then on its request may have run.
    ///
    /// # Errors
    ///
    /// Returns an error if too many requests are in progress; the body may not be passed on then.
    pub fn pass_on(&mut self, id: BodyId) -> Result<(), Refusal> {
        let limit = self.large_limit();
        let holder = self.holders.get_mut(&id).ok_or(Refusal::Displaced)?;
        if self.in_progress + holder.charge > limit {
            return Err(Refusal::RequestsInProgress);
        }
        holder.stage = Stage::InProgress;
        self.in_progress += holder.charge;
        Ok(())
    }

    /// Charges a response that was registered by [`Admission::begin`]. It exists already, so it is not refused. It may
    /// bring the charges beyond the capacity; until they are below it again, requests are refused, and readers that do
    /// not read their responses are closed.
    pub fn respond(&mut self, id: BodyId, charge: usize) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.stage = Stage::Responding;
        }
        self.set_charge(id, charge);
    }

    /// Returns whether responses have brought the charges beyond the capacity.
    #[must_use]
    pub const fn is_exceeded(&self) -> bool {
        self.held > self.capacity
    }

    /// Lowers the charge of a body of which only a part is still needed.
    pub fn shrink(&mut self, id: BodyId, charge: usize) {
        let present = self.holders.get(&id).map_or(0, |holder| holder.charge);
        if charge < present {
            self.set_charge(id, charge);
        }
    }

    /// Removes a body and releases its charge. Does nothing if it was displaced.
    pub fn end(&mut self, id: BodyId) {
        self.set_charge(id, 0);
        self.holders.remove(&id);
    }

    const fn large_limit(&self) -> usize {
        self.capacity - self.capacity / ORDINARY_DIVISOR
    }

    /// Returns which limit an increase would exceed.
    const fn shortage(&self, more: usize, more_excess: usize) -> Option<Shortage> {
        if more_excess > 0 && self.excess + more_excess > self.large_limit() {
            Some(Shortage::Large)
        } else if self.held + more > self.capacity {
            Some(Shortage::All)
        } else {
            None
        }
    }

    /// Selects the body to displace for the growth of `id` to `charge`.
    fn victim(
        &self,
        now: Duration,
        id: BodyId,
        charge: usize,
        shortage: Shortage,
    ) -> Option<BodyId> {
        let holder = self.holders.get(&id)?;
        let more = charge.saturating_sub(holder.charge);
        let exceeds = self.exceeds_share(&holder.sender, more);
        let sender = holder.sender;
        let own = holder.progress.value_at(now);
        let large = charge > ORDINARY;
        self.holders
            .iter()
            .filter(|(other, victim)| {
                **other != id
                    && victim.stage == Stage::Receiving
                    && match shortage {
                        Shortage::All => victim.charge > 0,
                        Shortage::Large => victim.excess() > 0,
                    }
            })
            .map(|(other, victim)| Candidate {
                id: *other,
                exceeds_share: self.exceeds_share(&victim.sender, 0),
                related: victim.sender.is_related(&sender),
                progress: victim.progress.value_at(now),
                charge: victim.charge,
            })
            .filter(|victim| match (exceeds, victim.exceeds_share) {
                (false, true) => true,
                (true, false) if !victim.related => false,
                _ => !large || victim.progress < own,
            })
            .min_by(Candidate::compare)
            .map(|victim| victim.id)
    }

    fn exceeds_share(&self, sender: &Sender, more: usize) -> bool {
        let group = sender
            .group
            .is_some_and(|group| self.groups.exceeds(&group, more, self.capacity, ORDINARY));
        group
            || sender
                .peer
                .is_some_and(|peer| self.peers.exceeds(&peer, more, self.capacity, ORDINARY))
    }

    fn set_charge(&mut self, id: BodyId, charge: usize) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        let (before, excess_before) = (holder.charge, holder.excess());
        holder.charge = charge;
        self.held = self.held - before + charge;
        self.excess = self.excess - excess_before + holder.excess();
        if holder.stage == Stage::InProgress {
            self.in_progress = self.in_progress - before + charge;
        }
        if let Some(group) = holder.sender.group {
            self.groups.remove(&group, before);
            self.groups.add(group, charge);
        }
        if let Some(peer) = holder.sender.peer {
            self.peers.remove(&peer, before);
            self.peers.add(peer, charge);
        }
    }
}

/// Limit that a growing body meets.
#[derive(Debug, Clone, Copy)]
enum Shortage {
    /// All memory is charged.
    All,
    /// Large bodies hold their whole part.
    Large,
}

struct Candidate {
    id: BodyId,
    /// Whether it is sent by the same group or peer as the body that grows.
    related: bool,
    exceeds_share: bool,
    progress: f64,
    charge: usize,
}

impl Candidate {
    /// Orders candidates, the first to displace first: of groups beyond their share, with the least progress, the
    /// largest, the oldest.
    fn compare(&self, other: &Self) -> Ordering {
        other
            .exceeds_share
            .cmp(&self.exceeds_share)
            .then(self.progress.total_cmp(&other.progress))
            .then(other.charge.cmp(&self.charge))
            .then(self.id.cmp(&other.id))
    }
}
