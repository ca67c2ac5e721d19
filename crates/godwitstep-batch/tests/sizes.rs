//! Sizes of the records and messages of jobs that are as large as callers may make them.

mod simulation;

use godwitstep_batch::fragment::{self, Assembler};
use godwitstep_batch::id::{Incarnation, JobId, Offset};
use godwitstep_batch::job::Step;
use godwitstep_batch::ledger::{Ledger, Status};
use godwitstep_batch::message::{self, Reply};
use godwitstep_batch::progress::{Outcome, Progress, State};
use godwitstep_batch::record::Record;
use simulation::{COMPLETED, Simulation, seconds, step};

const JOB: JobId = 7;
/// Limit of the log on the size of a record.
const RECORD_BYTES: usize = 262_144;
/// Limit of the log on the size of an append.
const APPEND_BYTES: usize = 2_097_152;
/// Limit of an agent on the size of a reply.
const REPLY_BYTES: usize = 4 * 1024 * 1024;

/// Returns the state of a job of 4,000 tasks, all of which are placed.
fn placed(run: u32, checkpoint: &str) -> Record {
    let tasks = Step {
        tasks: 4_000,
        ..Step::default()
    };
    let mut progress = Progress::new(&[tasks]);
    for task in &mut progress.steps[0].tasks {
        task.run = run;
        task.saved = checkpoint.into();
        task.state = State::Placed(Incarnation {
            host: "side-roebourne-annex-104".into(),
            worker: "stitchwatch-5c0e7a21d94b36f8".into(),
            started_ms: 1_764_950_400_000,
        });
    }
    Record::Progressed { job: JOB, progress }
}

/// Decodes and assembles records as a reader does. Returns those that are complete.
fn read(
    assembler: &mut Assembler,
    items: impl IntoIterator<Item = (Offset, (String, bytes::Bytes))>,
) -> Vec<(Offset, Record)> {
    let assemble = |(offset, (key, value)): (Offset, (String, bytes::Bytes))| {
        let record = Record::decode(&key, &value).unwrap()?;
        assembler.add(offset, record).unwrap()
    };
    items.into_iter().filter_map(assemble).collect()
}

/// Guards against a record of a large job that the log rejects, and against an append of it that the log rejects.
#[test]
fn the_state_of_the_largest_job_fits_the_limits_of_the_log() {
    let record = placed(900_000, &"c".repeat(256));
    let items = fragment::encode(&record, RECORD_BYTES);
    let sizes = items.iter().map(|(key, value)| 1 + key.len() + value.len());
    assert!(sizes.clone().all(|size| size <= RECORD_BYTES));
    let total: usize = sizes.map(|size| 4 + size).sum();
    assert!(total <= APPEND_BYTES, "{total}");
    let last = items.len() as Offset - 1;
    let read = read(&mut Assembler::default(), (0..).zip(items));
    assert_eq!(read, [(last, record)]);
}

/// Guards against a state that is made up of the fragments of two records, or that is lost because a fragment of an
/// earlier record is read between those of a later one.
#[test]
fn fragments_of_different_records_are_not_mixed() {
    let first = fragment::encode(&placed(1, ""), 64 * 1024);
    let second = fragment::encode(&placed(2, ""), 64 * 1024);
    assert_eq!(first.len(), second.len());
    let count = first.len() as Offset;
    // Pages of newest records are read while the second record is stored: they hold the beginning of the first one.
    let pages = (0..).zip(first.clone()).take(2);
    let tail = (count..).zip(second);
    let stale = (0..).zip(first).skip(2);
    let mixed: Vec<_> = pages.chain(tail.take(3)).chain(stale).collect();
    assert_eq!(read(&mut Assembler::default(), mixed), []);
    let second = fragment::encode(&placed(2, ""), 64 * 1024);
    let first = fragment::encode(&placed(1, ""), 64 * 1024);
    let interleaved = (count..).zip(second).zip((0..).zip(first));
    let interleaved = interleaved.flat_map(|(new, old)| [new, old]);
    let last = count * 2 - 1;
    assert_eq!(
        read(&mut Assembler::default(), interleaved),
        [(last, placed(2, ""))]
    );
}

/// Guards against fragments that stay in the log for good after the job's state has become shorter.
#[test]
fn fragments_that_a_shorter_record_leaves_are_known() {
    let mut assembler = Assembler::default();
    let long = placed(1, "");
    let (key, items) = (long.key(), fragment::encode(&long, RECORD_BYTES));
    let count = u16::try_from(items.len()).unwrap();
    read(&mut assembler, (0..).zip(items));
    assert_eq!(assembler.leftover(&key, 1), 1..count);
    assembler.deleted(&key, 1);
    assert!(assembler.leftover(&key, 1).is_empty());
    read(
        &mut assembler,
        (0..).zip(fragment::encode(&long, RECORD_BYTES)),
    );
    let dropped = Record::Dropped { job: JOB };
    read(&mut assembler, [(9, (dropped.key(), dropped.encode()))]);
    assert!(assembler.leftover(&key, 1).is_empty());
}

/// Guards against a foreign record that counts as the state of a job because it is complete.
#[test]
fn odd_fragments_are_rejected() {
    let items = fragment::encode(&placed(1, ""), RECORD_BYTES);
    let Ok(Some(Record::Fragment(valid))) = Record::decode(&items[0].0, &items[0].1) else {
        panic!("the record has no fragments");
    };
    let usable = |edit: fn(&mut fragment::Fragment)| {
        let mut fragment = valid.clone();
        edit(&mut fragment);
        let record = Record::Fragment(fragment);
        Record::decode(&record.key(), &record.encode()).is_ok()
    };
    assert!(usable(|_| {}));
    assert!(!usable(|fragment| fragment.key = "claim".to_owned()));
    assert!(!usable(|fragment| fragment.count = 1));
    assert!(!usable(|fragment| fragment.count = u16::MAX));
    assert!(!usable(|fragment| fragment.index = fragment.count));
    let mut ledger = Ledger::default();
    ledger.apply(0, Record::Fragment(valid));
    assert_eq!(ledger.jobs().len(), 0);
}

/// Guards against orders that are too large for the agent that gets them, so that nothing runs there any more.
#[test]
fn orders_for_one_worker_fit_a_message() {
    let mut sim = Simulation::new(1, 1);
    sim.spec = "s".repeat(4_000).into();
    let mut tasks = step(1_200, 0, seconds(2));
    tasks.demand.cpu = 50;
    tasks.demand.memory = 200;
    sim.submit(JOB, "normal", "north", vec![tasks]);
    let mut largest = 0;
    for _ in 0..200 {
        sim.round();
        let replies = sim.directives.values().cloned().map(Reply::Directive);
        let sizes = replies.map(|reply| message::encode(&reply).len());
        largest = sizes.max().unwrap_or_default().max(largest);
        if sim.status(JOB) == COMPLETED {
            break;
        }
    }
    assert!(largest <= REPLY_BYTES / 4, "{largest} bytes");
    assert_eq!(sim.status(JOB), Some(Status::Ended(Outcome::Completed)));
}

/// Guards against lists of runs that no report or answer of a worker can hold.
#[test]
fn the_runs_on_a_worker_are_limited_however_small_they_are() {
    let mut sim = Simulation::new(2, 2);
    for job in 1..=5 {
        let mut tasks = step(4_000, 0, seconds(600));
        tasks.demand.cpu = 0;
        tasks.demand.memory = 0;
        sim.submit(job, "normal", "north", vec![tasks]);
    }
    sim.deliver_reports();
    sim.decide();
    let placed = |job| sim.ledger.job(job).unwrap().progress.placed().count();
    assert_eq!((1..=5).map(placed).sum::<usize>(), 2 * 8_192);
}
