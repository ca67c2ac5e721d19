//! Random interleavings of submissions and cancellations of one identifier at several entries, against what callers were
//! told.

use ciborium::Value;
use fastrand::Rng;
use godwitstep_batch::id::{JobId, Offset};
use godwitstep_batch::job::{Job, Step};
use godwitstep_batch::ledger::{Ledger, Standing, Status};
use godwitstep_batch::policy::Queue;
use godwitstep_batch::progress::{Outcome, Progress};
use godwitstep_batch::record::{Record, submitted_key};
use std::collections::BTreeMap;

const ID: JobId = 7;
const ENTRIES: usize = 3;
const CANCELLED: Option<Status> = Some(Status::Ended(Outcome::Cancelled));

/// Steps of the world; orders events at different processes.
type Time = usize;

/// Returns a submission; its number is in the field that correctness does not depend on.
fn job(number: usize, known: Offset) -> Job {
    Job {
        id: ID,
        workspace: None,
        queue: Queue::default(),
        spec: "".into(),
        steps: vec![Step::default()],
        accepted: number as u64,
        known,
    }
}

fn number(job: &Job) -> usize {
    usize::try_from(job.accepted).unwrap()
}

/// An entry's view of the log.
#[derive(Default)]
struct Entry {
    ledger: Ledger,
    end: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answer {
    Accepted,
    Refused,
    /// To a cancel: the job is cancelled.
    Done,
    /// To a cancel: there is no such job.
    Gone,
}

#[derive(Debug, Clone)]
enum Request {
    Submission(Job),
    Cancel,
}

/// A request of a caller.
#[derive(Debug, Clone)]
struct Call {
    entry: usize,
    received: Time,
    /// Time of the first append.
    stored: Option<Time>,
    request: Request,
    /// Whether the entry still works on it, or the log may still carry out its append.
    pending: bool,
    answer: Option<(Time, Answer)>,
}

struct World {
    rng: Rng,
    now: Time,
    log: Vec<Record>,
    entries: Vec<Entry>,
    decider: usize,
    calls: Vec<Call>,
    /// Times at which the decider placed tasks, and the submissions.
    placed: Vec<(Time, usize)>,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            rng: Rng::with_seed(seed),
            now: 0,
            log: Vec::new(),
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            decider: 0,
            calls: Vec::new(),
            placed: Vec::new(),
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.u32(..100) < percent
    }

    /// Lets an entry read the log up to an offset.
    fn read(&mut self, entry: usize, end: usize) {
        let entry = &mut self.entries[entry];
        for offset in entry.end..end {
            entry
                .ledger
                .apply(offset as Offset, self.log[offset].clone());
        }
        entry.end = entry.end.max(end);
    }

    fn read_all(&mut self, entry: usize) {
        self.read(entry, self.log.len());
    }

    /// Returns the newest record of each key in random order.
    fn newest(&mut self) -> Vec<(Offset, Record)> {
        let mut newest = BTreeMap::new();
        for (offset, record) in (0..).zip(&self.log) {
            newest.insert(record.key(), (offset, record.clone()));
        }
        let mut newest: Vec<_> = newest.into_values().collect();
        self.rng.shuffle(&mut newest);
        newest
    }

    /// Lets an entry read the newest record of each key, and a part of the tail once more.
    fn reload(&mut self, entry: usize, restarted: bool) {
        let newest = self.newest();
        let end = self.log.len();
        let overlap = self.rng.usize(..=end);
        let entry = &mut self.entries[entry];
        if restarted {
            *entry = Entry::default();
        }
        let listed = newest.iter().map(|(_, record)| record.key()).collect();
        for (offset, record) in newest {
            entry.ledger.apply(offset, record);
        }
        entry.ledger.finish_reload(&listed, end as Offset);
        for offset in overlap..end {
            entry
                .ledger
                .apply(offset as Offset, self.log[offset].clone());
        }
        entry.end = end;
    }

    /// Lets the decider read the log and append what it decides.
    fn round(&mut self, place: bool) {
        self.read_all(self.decider);
        let ledger = &self.entries[self.decider].ledger;
        let mut records: Vec<Record> = ledger
            .overwritten()
            .map(|job| Record::Submitted((**job).clone()))
            .collect();
        if let Some((_, state)) = ledger.open().next() {
            let mut progress = state.progress.clone();
            if state.cancelled && progress.outcome.is_none() {
                progress.outcome = Some(Outcome::Cancelled);
                progress.steps.clear();
                records.push(Record::Progressed { job: ID, progress });
            } else if state.active() && !state.decided && place {
                self.placed.push((self.now, number(&state.job)));
                progress = Progress::new(&state.job.steps);
                records.push(Record::Progressed { job: ID, progress });
            }
        }
        self.log.extend(records);
        self.read_all(self.decider);
    }

    fn receive(&mut self, entry: usize, cancel: bool) {
        let known = self.entries[entry].end as Offset;
        let number = self.calls.len();
        let (request, answer) = if cancel {
            let ended = self.entries[entry].ledger.has_outcome(ID);
            (Request::Cancel, ended.then_some(Answer::Done))
        } else {
            let request = Request::Submission(job(number, known));
            (request, self.known_answer(entry, known))
        };
        self.calls.push(Call {
            entry,
            received: self.now,
            stored: None,
            request,
            pending: answer.is_none(),
            answer: answer.map(|answer| (self.now, answer)),
        });
    }

    /// Returns the answer to a submission that need not be stored.
    fn known_answer(&mut self, entry: usize, known: Offset) -> Option<Answer> {
        match self.entries[entry].ledger.standing(ID, known) {
            Standing::New => None,
            Standing::CancelledLater => Some(Answer::Accepted),
            Standing::Barred => Some(Answer::Refused),
            Standing::Accepted => {
                self.read_all(entry);
                match self.entries[entry].ledger.standing(ID, known) {
                    Standing::Accepted => Some(Answer::Accepted),
                    _ => Some(Answer::Refused),
                }
            }
        }
    }

    /// Appends the record of a pending call, which may be repeated, and answers it unless the answer is lost.
    fn store(&mut self, index: usize) {
        let call = self.calls[index].clone();
        let offset = self.log.len();
        let relayed = self.rng.bool();
        let record = match &call.request {
            Request::Submission(job) => Record::Submitted(job.clone()),
            Request::Cancel => Record::Cancelled { job: ID },
        };
        self.log.push(record);
        self.calls[index].stored.get_or_insert(self.now);
        // Without an answer, the entry repeats the append, or the caller leaves.
        if self.chance(25) {
            self.calls[index].pending = self.rng.bool();
            return;
        }
        let answer = match call.request {
            Request::Submission(_) => {
                let reader = if relayed { self.decider } else { call.entry };
                self.read(reader, offset + 1);
                let barred = self.entries[reader].ledger.is_barred(ID, offset as Offset);
                if barred {
                    Answer::Refused
                } else {
                    Answer::Accepted
                }
            }
            Request::Cancel => {
                let entry = &self.entries[call.entry];
                let unread = self.log.get(entry.end..).unwrap_or_default();
                let submitted = unread
                    .iter()
                    .any(|record| record.key() == submitted_key(ID));
                if submitted || entry.ledger.status(ID).is_some() {
                    Answer::Done
                } else {
                    Answer::Gone
                }
            }
        };
        self.calls[index].pending = false;
        // An append that was carried out twice: the log stores the second one whenever it gets to it. For cancellations this
        // is a known limit, see docs/design/identifiers-after-cancellation.md.
        if matches!(call.request, Request::Submission(_)) && self.chance(10) {
            self.calls[index].pending = true;
        }
        if call.answer.is_none() {
            self.calls[index].answer = Some((self.now, answer));
        }
    }

    fn pending(&self) -> Vec<usize> {
        let calls = self.calls.iter().enumerate();
        calls
            .filter_map(|(index, call)| call.pending.then_some(index))
            .collect()
    }

    fn step(&mut self) {
        self.now += 1;
        let entry = self.rng.usize(..ENTRIES);
        match self.rng.u32(..100) {
            0..18 => self.receive(entry, false),
            18..32 => self.receive(entry, true),
            32..62 => {
                if let Some(index) = self.rng.choice(self.pending()) {
                    self.store(index);
                }
            }
            62..78 => {
                let end = self.rng.usize(self.entries[entry].end..=self.log.len());
                self.read(entry, end);
            }
            78..84 => {
                // The history outlives the decider's next round.
                self.round(false);
                let restarted = self.rng.bool();
                self.reload(entry, restarted);
            }
            84..90 => {
                self.round(false);
                self.decider = entry;
            }
            _ => {
                let place = self.chance(30);
                self.round(place);
            }
        }
    }

    fn settle(&mut self) {
        while let Some(index) = self.rng.choice(self.pending()) {
            self.now += 1;
            self.store(index);
        }
        self.now += 1;
        self.round(false);
        self.round(false);
        (0..ENTRIES).for_each(|entry| self.read_all(entry));
    }

    /// Checks what callers were told, and that all views agree.
    fn check(&mut self, seed: u64) {
        let status = self.entries[0].ledger.status(ID);
        for entry in &self.entries {
            assert_eq!(entry.ledger.status(ID), status, "seed {seed}");
        }
        let restarted = self.rng.usize(..ENTRIES);
        self.reload(restarted, true);
        let reloaded = self.entries[restarted].ledger.status(ID);
        assert_eq!(reloaded, status, "seed {seed}: after a restart");
        let first_placed = self.placed.first().map_or(Time::MAX, |(time, _)| *time);
        let is_placed = |number| self.placed.iter().any(|(_, placed)| *placed == number);
        for (index, call) in self.calls.iter().enumerate() {
            match call.answer {
                Some((_, Answer::Accepted)) => {
                    let cancelled_afterwards = self.calls.iter().any(|cancel| {
                        matches!(cancel.request, Request::Cancel)
                            && cancel.stored.is_some()
                            && cancel.answer.is_none_or(|(time, _)| time > call.received)
                    });
                    let began_before = first_placed < call.received;
                    let kept = status.is_some() && status != CANCELLED;
                    assert!(
                        kept || cancelled_afterwards || began_before,
                        "seed {seed}: submission {index} was accepted and does not run"
                    );
                }
                Some((_, Answer::Refused)) => {
                    assert!(
                        !is_placed(index),
                        "seed {seed}: {index} was refused and runs"
                    );
                }
                Some((_, Answer::Gone)) => {
                    for (other, submission) in self.calls.iter().enumerate() {
                        let under_way = call.stored.is_some_and(|time| submission.received <= time);
                        assert!(
                            !under_way || !is_placed(other),
                            "seed {seed}: {other} runs, but {index} was told that there is no job"
                        );
                    }
                }
                Some((_, Answer::Done)) | None => {}
            }
        }
    }

    /// Submits the identifier once more, after everything was read.
    fn check_usable(&mut self, seed: u64) {
        if !self.placed.is_empty() {
            return;
        }
        (0..ENTRIES).for_each(|entry| self.read_all(entry));
        let entry = self.rng.usize(..ENTRIES);
        self.receive(entry, false);
        self.settle();
        let status = self.entries[entry].ledger.status(ID);
        assert_eq!(
            status,
            Some(Status::Queued),
            "seed {seed}: the identifier is barred"
        );
        self.check(seed);
    }
}

/// Guards against accepted jobs that an earlier cancellation bars, refused or cancelled ones that run, and entries that
/// derive different states from the same log.
#[test]
fn answers_about_one_identifier_hold_in_random_interleavings() {
    let (mut accepted, mut gone, mut refused) = (0, 0, 0);
    for seed in 0..4_000 {
        let mut world = World::new(seed);
        for _ in 0..world.rng.usize(5..80) {
            world.step();
        }
        world.settle();
        world.check(seed);
        world.check_usable(seed);
        for call in &world.calls {
            match call.answer {
                Some((_, Answer::Accepted)) => accepted += 1,
                Some((_, Answer::Gone)) => gone += 1,
                Some((_, Answer::Refused)) => refused += 1,
                _ => {}
            }
        }
    }
    assert!(
        accepted > 1_000 && gone > 1_000 && refused > 1_000,
        "{accepted}, {gone}, {refused}"
    );
}

/// Guards against a state that depends on the order in which pages of the newest records deliver them.
#[test]
fn the_order_of_application_does_not_matter() {
    let records = [
        (3, Record::Submitted(job(1, 2))),
        (4, Record::Cancelled { job: ID }),
        (6, Record::Submitted(job(2, 5))),
    ];
    for order in [
        [0, 1, 2],
        [0, 2, 1],
        [1, 0, 2],
        [1, 2, 0],
        [2, 0, 1],
        [2, 1, 0],
    ] {
        let mut ledger = Ledger::default();
        for (offset, record) in order.map(|index| records[index].clone()) {
            ledger.apply(offset, record);
        }
        assert_eq!(ledger.status(ID), Some(Status::Queued), "{order:?}");
        assert_eq!(ledger.open().count(), 1, "{order:?}");
        ledger.apply(7, Record::Cancelled { job: ID });
        assert_eq!(ledger.status(ID), CANCELLED, "{order:?}");
    }
}

/// Guards against processes of an earlier and of this version that can't read each other's submissions, or for which a
/// submission without the field knows of cancellations.
#[test]
fn submissions_of_other_versions_are_read() {
    let submitted = Record::Submitted(job(1, 5));
    let with_fields = |edit: fn(&mut Vec<(Value, Value)>)| {
        let mut value: Value = ciborium::from_reader(&*submitted.encode()).unwrap();
        let Value::Map(variants) = &mut value else {
            panic!("a record is a map of its kind");
        };
        let Value::Map(fields) = &mut variants[0].1 else {
            panic!("a job is a map of its fields");
        };
        edit(fields);
        let mut bytes = Vec::new();
        ciborium::into_writer(&value, &mut bytes).unwrap();
        Record::decode(&submitted.key(), &bytes).unwrap().unwrap()
    };
    let earlier = with_fields(|fields| fields.retain(|(name, _)| name.as_text() != Some("known")));
    assert_eq!(earlier, Record::Submitted(job(1, 0)));
    let mut ledger = Ledger::default();
    ledger.apply(0, Record::Cancelled { job: ID });
    ledger.apply(1, earlier);
    assert_eq!(ledger.status(ID), CANCELLED);
    // Earlier processes decode with the same library and the same attributes.
    let later = with_fields(|fields| fields.push((Value::from("added"), Value::from(1))));
    assert_eq!(later, submitted);
}
