//! Callers who repeat what was not answered, and the comparison of their ledger with the targets'.

use super::{ENTRIES, World, ms};
use godwitstep_core::id::Key;
use godwitstep_core::key::Owner;
use godwitstep_core::router::{Outcome, Request};

const MAX_ATTEMPTS: usize = 5;

/// What a caller was told about one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Told {
    /// Nothing yet.
    Waiting,
    /// The connection broke, or the caller closed it.
    Broken,
    Answered,
    Failed,
    NotRun,
    Unknown,
}

pub struct Caller {
    key: Key,
    idempotent: bool,
    /// Entry, identity and result of each attempt.
    attempts: Vec<(usize, Owner, Told)>,
    next: u64,
    done: bool,
}

/// What came of all requests.
#[derive(Debug, Default)]
pub struct Tally {
    pub asked: usize,
    pub answered: usize,
    pub repeated: usize,
    pub unrun: usize,
}

impl World {
    pub fn tick_callers(&mut self) {
        if !self.is_quiet() && self.rng.u8(..10) < 3 {
            self.active.push(self.callers.len());
            self.callers.push(Caller {
                key: format!("w/{}", self.callers.len()).into(),
                idempotent: self.rng.u8(..3) == 0,
                attempts: Vec::new(),
                next: self.now,
                done: false,
            });
        }
        let callers = &self.callers;
        self.active.retain(|index| !callers[*index].done);
        for index in self.active.clone() {
            let caller = &self.callers[index];
            if caller.done || caller.next > self.now {
                continue;
            }
            if caller
                .attempts
                .last()
                .is_some_and(|(_, _, told)| *told == Told::Waiting)
            {
                self.hang_up(index);
            } else {
                self.attempt(index);
            }
        }
    }

    fn attempt(&mut self, index: usize) {
        let entry = self.rng.usize(..ENTRIES);
        let caller = &self.callers[index];
        let request = Request {
            sequence: 0,
            service: "s".into(),
            workspace: "w".into(),
            kind: "k".into(),
            key: caller.key.clone(),
            idempotent: caller.idempotent,
            attempt: u32::try_from(caller.attempts.len()).unwrap() + 1,
            deadline: ms(if self.faulty {
                self.rng.u64(150..3_000)
            } else {
                3_000
            }),
        };
        self.callers[index].next = if self.faulty && self.rng.u8(..20) == 0 {
            self.now + self.rng.u64(5..200)
        } else {
            u64::MAX
        };
        self.current = index;
        if self.submit(entry, request).is_none() {
            self.callers[index].next = self.now + 20;
        }
    }

    /// Notes an attempt before its answer can come.
    pub fn callers_note(&mut self, entry: usize, incarnation: u64, sequence: u64) {
        let owner = Owner {
            incarnation,
            sequence,
        };
        let index = self.current;
        self.callers[index]
            .attempts
            .push((entry, owner, Told::Waiting));
        self.asked.insert((incarnation, sequence), index);
    }

    fn hang_up(&mut self, index: usize) {
        let Some((entry, owner, told)) = self.callers[index].attempts.last_mut() else {
            return;
        };
        *told = Told::Broken;
        let (entry, sequence) = (*entry, owner.sequence);
        self.callers[index].next = self.now + 1;
        if self.callers[index].attempts.len() >= MAX_ATTEMPTS {
            self.callers[index].done = true;
        }
        self.hear(
            entry,
            godwitstep_core::router::Event::CallerGone { sequence },
            None,
        );
    }

    pub fn told(&mut self, owner: Owner, outcome: &Outcome) {
        let index = self.asked[&(owner.incarnation, owner.sequence)];
        let caller = &mut self.callers[index];
        let attempt = caller
            .attempts
            .iter_mut()
            .find(|(_, of, _)| *of == owner)
            .unwrap();
        if attempt.2 != Told::Waiting {
            return;
        }
        attempt.2 = match outcome {
            Outcome::Answered { .. } => Told::Answered,
            Outcome::Failed { .. } => Told::Failed,
            Outcome::NotRun(_) => Told::NotRun,
            Outcome::Unknown { .. } => Told::Unknown,
        };
        let settled = matches!(attempt.2, Told::Answered | Told::Failed);
        let tired = caller.attempts.len() >= MAX_ATTEMPTS || self.rng.u8(..5) == 0;
        caller.done = settled || tired;
        caller.next = self.now + self.rng.u64(1..600);
    }

    pub fn break_callers(&mut self, entry: usize) {
        for index in self.active.clone() {
            let now = self.now;
            let caller = &mut self.callers[index];
            if let Some((at, _, told @ Told::Waiting)) = caller.attempts.last_mut()
                && *at == entry
            {
                *told = Told::Broken;
                caller.next = now + self.rng.u64(1..400);
                caller.done = caller.attempts.len() >= MAX_ATTEMPTS;
            }
        }
    }

    /// Compares the ledgers.
    pub fn check(&self) -> Tally {
        let mut tally = Tally::default();
        for caller in &self.callers {
            let key = &caller.key;
            let runs = self.runs.get(key).map_or(&[][..], Vec::as_slice);
            let attempts = &caller.attempts;
            assert!(
                caller.idempotent || runs.len() <= 1,
                "{key} ran for {runs:?}: {attempts:?}"
            );
            for (number, (_, owner, told)) in attempts.iter().enumerate() {
                assert_ne!(*told, Told::Waiting, "{key} has no answer: {attempts:?}");
                if *told != Told::NotRun {
                    continue;
                }
                // No attempt up to the one that was told so has run, now or later.
                let first = if caller.idempotent { number } else { 0 };
                let wrong = attempts[first..=number]
                    .iter()
                    .any(|(_, of, _)| runs.contains(of));
                assert!(
                    !wrong,
                    "{key} was told not run for {owner:?}, ran for {runs:?}"
                );
            }
            let last = attempts.last().map(|(_, _, told)| *told);
            let answered = last == Some(Told::Answered) || last == Some(Told::Failed);
            assert!(
                !answered || !runs.is_empty(),
                "{key} was answered and did not run"
            );
            tally.asked += 1;
            tally.answered += usize::from(answered);
            tally.repeated += usize::from(answered && attempts.len() > 1);
            tally.unrun += usize::from(last == Some(Told::NotRun));
        }
        tally
    }
}
