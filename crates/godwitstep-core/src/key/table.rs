//! State of each idempotency key and the transitions between these states.

use super::answers::Answers;
use super::{Admission, AdmissionRequest, End, Limits, Owner};
use crate::id::Key;
use crate::reason::Reason;
use crate::router::KeyState;
use bytes::Bytes;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Only the owner may run the key.
    Fenced,
    Running,
    /// The answer is stored unless it was too large or has been evicted.
    Answered,
    Failed,
    Unknown,
}

#[derive(Debug)]
struct Entry {
    owner: Owner,
    state: State,
    changed: Duration,
    /// Other requests that wait for this run to end.
    waiters: Vec<Owner>,
}

/// Idempotency keys that an agent has received in its present incarnation.
#[derive(Debug)]
pub struct Table {
    limits: Limits,
    started: Duration,
    entries: BTreeMap<Key, Entry>,
    /// Keys with the times of their changes, oldest first; a key appears once for each change.
    changes: VecDeque<(Duration, Key)>,
    answers: Answers,
}

impl Table {
    /// Returns the empty table of an agent that started at the given time.
    #[must_use]
    pub fn new(started: Duration) -> Self {
        Self {
            limits: Limits::default(),
            started,
            entries: BTreeMap::new(),
            changes: VecDeque::new(),
            answers: Answers::default(),
        }
    }

    /// Sets the limits on keys, answers and times.
    #[must_use]
    pub const fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Returns the number of keys in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Reports whether the table contains no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Decides whether a request may start. After [`Admission::Run`] the key counts as running.
    pub fn admit(&mut self, now: Duration, request: &AdmissionRequest) -> Admission {
        self.expire(now);
        let Some(entry) = self.entries.get_mut(&request.key) else {
            return self.admit_new(now, request);
        };
        let is_owner = entry.owner == request.owner;
        match entry.state {
            State::Fenced if is_owner => {}
            State::Fenced => return Admission::Refuse(Reason::Cancelled),
            State::Running => {
                if !is_owner && !entry.waiters.contains(&request.owner) {
                    entry.waiters.push(request.owner);
                }
                return Admission::Running;
            }
            State::Answered => match self.answers.get(&request.key) {
                Some(body) => return Admission::Answered(body.clone()),
                None if request.idempotent => {}
                None => return Admission::Unknown,
            },
            State::Failed if is_owner || !request.idempotent => return Admission::Failed,
            State::Unknown if !request.idempotent => return Admission::Unknown,
            State::Failed | State::Unknown => {}
        }
        entry.owner = request.owner;
        self.set_state(now, &request.key, State::Running);
        Admission::Run
    }

    fn admit_new(&mut self, now: Duration, request: &AdmissionRequest) -> Admission {
        let uptime = now.saturating_sub(self.started);
        let full = self.entries.len() >= self.limits.max_keys;
        if !request.idempotent && request.age + self.limits.transit > uptime {
            // The previous incarnation of this agent may have received a fence for the key, of
            // which this one has no record.
            return Admission::Refuse(Reason::AgentTooYoung);
        }
        if full && !request.idempotent {
            return Admission::Refuse(Reason::LimitReached);
        }
        if !full {
            self.insert(now, request.owner, &request.key, State::Running);
        }
        Admission::Run
    }

    /// Records the end of a run. Returns the other requests that wait for it and get the same
    /// reply.
    #[must_use]
    pub fn finish(&mut self, now: Duration, owner: Owner, key: &Key, end: End) -> Vec<Owner> {
        let Some(entry) = self.entries.get_mut(key) else {
            return Vec::new();
        };
        if entry.owner != owner || entry.state != State::Running {
            return Vec::new();
        }
        let waiters = std::mem::take(&mut entry.waiters);
        let state = match end {
            End::Answered(body) => {
                if body.len() <= self.limits.max_answer_bytes {
                    self.answers
                        .insert(key, &body, self.limits.max_total_answer_bytes);
                }
                State::Answered
            }
            End::Failed => State::Failed,
            End::Unknown => State::Unknown,
            End::NotStarted => {
                let Some(next) = waiters.iter().max() else {
                    self.entries.remove(key);
                    return waiters;
                };
                entry.owner = *next;
                State::Fenced
            }
        };
        self.set_state(now, key, state);
        waiters
    }

    /// Makes a request the owner of a key that has not run, and returns the state of the key with
    /// its stored answer.
    ///
    /// After [`KeyState::Running`], [`Table::finish`] returns this request among the waiting ones.
    pub fn fence(&mut self, now: Duration, owner: Owner, key: &Key) -> (KeyState, Option<Bytes>) {
        self.expire(now);
        let Some(entry) = self.entries.get_mut(key) else {
            if self.entries.len() >= self.limits.max_keys {
                return (KeyState::Unknown, None);
            }
            self.insert(now, owner, key, State::Fenced);
            return (KeyState::Fenced, None);
        };
        let state = match entry.state {
            State::Fenced if owner < entry.owner => KeyState::Unknown,
            State::Fenced => {
                entry.owner = owner;
                self.set_state(now, key, State::Fenced);
                KeyState::Fenced
            }
            State::Running => {
                if entry.owner != owner && !entry.waiters.contains(&owner) {
                    entry.waiters.push(owner);
                }
                KeyState::Running
            }
            State::Answered => match self.answers.get(key) {
                Some(body) => return (KeyState::Answered, Some(body.clone())),
                None => KeyState::Unknown,
            },
            State::Failed => KeyState::Failed,
            State::Unknown => KeyState::Unknown,
        };
        (state, None)
    }

    fn insert(&mut self, now: Duration, owner: Owner, key: &Key, state: State) {
        let entry = Entry {
            owner,
            state,
            changed: now,
            waiters: Vec::new(),
        };
        self.entries.insert(key.clone(), entry);
        self.changes.push_back((now, key.clone()));
    }

    fn set_state(&mut self, now: Duration, key: &Key, state: State) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.state = state;
            entry.changed = now;
            self.changes.push_back((now, key.clone()));
        }
    }

    /// Removes keys that have not changed within the window, except running ones.
    fn expire(&mut self, now: Duration) {
        while let Some((changed, key)) = self.changes.front()
            && *changed + self.limits.window <= now
        {
            let expired = self
                .entries
                .get(key)
                .is_some_and(|entry| entry.changed == *changed && entry.state != State::Running);
            if expired {
                self.entries.remove(key);
                self.answers.remove(key);
            }
            self.changes.pop_front();
        }
    }
}
