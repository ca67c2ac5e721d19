//! Records of other writers among those of the scheduler.

use godwitstep_batch::demand::Demand;
use godwitstep_batch::id::{Incarnation, JobId};
use godwitstep_batch::job::{Job, Step};
use godwitstep_batch::ledger::Ledger;
use godwitstep_batch::message::{self, Directive, Records, Reply, Report, Tail, TailRequest};
use godwitstep_batch::policy::Queue;
use godwitstep_batch::progress::{self, Outcome, Progress, State};
use godwitstep_batch::record::{Announcement, Claim, Record};
use std::time::Duration;

const KEYS: [&str; 5] = [
    "job/0000000000000007",
    "stop/0000000000000007",
    "progress/0000000000000007",
    "claim",
    "entry/edge-0",
];

/// Change of a valid job.
type Edit = fn(&mut Job);

fn job(id: JobId, steps: Vec<Step>) -> Job {
    Job {
        id,
        workspace: None,
        queue: Queue::default(),
        spec: "".into(),
        steps,
        accepted: 0,
    }
}

fn claim(epoch: u64, address: &str) -> Record {
    Record::Claimed(Claim {
        epoch,
        host: "edge-0".into(),
        address: address.parse().unwrap(),
        released: false,
    })
}

fn announcement(address: &str) -> Record {
    Record::Announced(Announcement {
        host: "edge-0".into(),
        address: address.parse().unwrap(),
        job_memory: None,
    })
}

fn usable(record: &Record) -> bool {
    Record::decode(&record.key(), &record.encode()).is_ok()
}

/// Returns the CBOR of an array in an array, and so on.
fn nested(depth: usize) -> Vec<u8> {
    vec![0x81; depth]
}

/// Guards against a process that ends on a deeply nested record or on one that claims to be gigabytes long.
#[test]
fn nested_and_oversized_encodings_are_rejected() {
    let mut encodings = vec![
        nested(100_000),
        [vec![0xa1, 0x69], b"Submitted".to_vec(), nested(100_000)].concat(),
        [
            vec![0xa1, 0x69],
            b"Submitted".to_vec(),
            vec![0xa1, 0x61, b'x'],
            nested(100_000),
        ]
        .concat(),
        [
            vec![0xa1, 0x67],
            b"Claimed".to_vec(),
            vec![0xa1, 0x61, b'x'],
            vec![0xc1; 100_000],
        ]
        .concat(),
    ];
    // Arrays, byte strings, texts and maps with a length of 2^62 or without one.
    for kind in [0x9b, 0x5b, 0x7b, 0xbb] {
        encodings.push([vec![kind], vec![0x40, 0, 0, 0, 0, 0, 0, 0]].concat());
        let head = [vec![0xa1, 0x69], b"Submitted".to_vec(), vec![kind]].concat();
        encodings.push([head, vec![0x40, 0, 0, 0, 0, 0, 0, 0]].concat());
        encodings.push(vec![kind | 0x1f; 100_000]);
    }
    for bytes in &encodings {
        for key in KEYS {
            assert!(Record::decode(key, bytes).is_err());
        }
        assert!(message::decode::<Report>(bytes).is_err());
        assert!(message::decode::<Directive>(bytes).is_err());
        assert!(message::decode::<Reply>(bytes).is_err());
        assert!(message::decode::<Records>(bytes).is_err());
        assert!(message::decode::<Tail>(bytes).is_err());
        assert!(message::decode::<TailRequest>(bytes).is_err());
    }
}

/// Guards against a job that is planned under another identifier than that of its record.
#[test]
fn record_under_the_key_of_another_one_is_rejected() {
    let records = [
        Record::Submitted(job(8, vec![Step::default()])),
        Record::Cancelled { job: 8 },
        Record::Progressed {
            job: 8,
            progress: Progress::new(&[Step::default()]),
        },
        announcement("10.0.0.1:7000"),
        claim(1 << 20, "10.0.0.1:7000"),
    ];
    let mut accepted = Vec::new();
    for record in &records {
        assert!(usable(record), "{record:?}");
        for key in KEYS.into_iter().chain(["", "x"]) {
            if key != record.key() && Record::decode(key, &record.encode()).is_ok() {
                accepted.push(format!("{} under {key}", record.key()));
            }
        }
    }
    assert_eq!(accepted, Vec::<String>::new());
}

/// Guards against an entry that ends whenever it plans a job whose steps or numbers no caller could have submitted.
#[test]
fn submission_that_is_not_valid_is_rejected() {
    let odd = |edit: Edit| {
        let mut job = job(7, vec![Step::default(), Step::default()]);
        edit(&mut job);
        Record::Submitted(job)
    };
    let edits: [(&str, Edit); 8] = [
        ("no steps", |job| job.steps.clear()),
        ("too many steps", |job| {
            job.steps = vec![Step::default(); 1_000];
        }),
        ("too many tasks", |job| job.steps[1].tasks = u16::MAX),
        ("no tasks", |job| job.steps[1].tasks = 0),
        ("unknown dependency", |job| {
            job.steps[0].depends_on = vec![9];
        }),
        ("estimate", |job| job.steps[0].estimate = Duration::MAX),
        ("NaN", |job| job.queue.stretch = f64::NAN),
        ("negative", |job| job.queue.stretch = -1.0),
    ];
    let accepted: Vec<&str> = edits
        .into_iter()
        .filter_map(|(name, edit)| usable(&odd(edit)).then_some(name))
        .collect();
    assert_eq!(accepted, Vec::<&str>::new());
    // Values that callers and operators may choose freely.
    let demand = Demand {
        cpu: u64::MAX,
        memory: u64::MAX,
        accelerators: u64::MAX,
    };
    let mut large = job(
        7,
        vec![Step {
            demand,
            ..Step::default()
        }],
    );
    large.queue.stretch = f64::MAX;
    large.queue.objective = Duration::MAX;
    assert!(usable(&Record::Submitted(large.clone())));
    assert!(
        std::panic::catch_unwind(|| large.objective() * 5).is_ok(),
        "the objective overflows"
    );
}

/// Guards against a planner that ends on the state of a job with other steps than the job has.
#[test]
fn progress_that_does_not_match_its_job_is_ignored() {
    let steps = [
        Step {
            tasks: 2,
            ..Step::default()
        },
        Step::default(),
    ];
    let mut done = Progress::new(&steps);
    done.steps[1].tasks[0].state = State::Done;
    let odd = [
        Progress::default(),
        Progress::new(&steps[..1]),
        Progress::new(&[steps[0].clone(), steps[0].clone()]),
        Progress::new(&[steps[0].clone(), steps[1].clone(), steps[1].clone()]),
    ];
    let submitted = || Record::Submitted(job(7, steps.to_vec()));
    let progressed = |progress: &Progress| Record::Progressed {
        job: 7,
        progress: progress.clone(),
    };
    for progress in &odd {
        let mut ledger = Ledger::default();
        ledger.apply(0, submitted());
        ledger.apply(1, progressed(&done));
        ledger.apply(2, progressed(progress));
        assert_eq!(ledger.job(7).unwrap().progress, done, "{progress:?}");
        // Pages of newest records may hold the state of a job before its submission.
        let mut ledger = Ledger::default();
        ledger.apply(2, progressed(progress));
        ledger.apply(0, submitted());
        assert_eq!(
            ledger.job(7).unwrap().progress,
            Progress::new(&steps),
            "{progress:?}"
        );
    }
    let ended = Progress {
        outcome: Some(Outcome::Cancelled),
        ..Progress::default()
    };
    let mut ledger = Ledger::default();
    ledger.apply(0, submitted());
    ledger.apply(1, progressed(&ended));
    assert!(ledger.job(7).unwrap().settled());
}

/// Guards against a planner that ends on the number of the run after the last possible one.
#[test]
fn progress_with_numbers_at_the_top_of_their_range_is_rejected() {
    let usable_with = |run, failures, failed_run, broken_run, unexplained_run| {
        let mut progress = Progress::new(&[Step::default()]);
        progress.steps[0].tasks[0].run = run;
        progress.steps[0].tasks[0].failures = failures;
        progress.steps[0].failed_run = failed_run;
        let incarnation = Incarnation {
            host: "side-0".into(),
            worker: "i-0".into(),
            started_ms: 5,
        };
        progress.steps[0].broken_run = broken_run;
        progress.steps[0].unexplained.push(progress::End {
            index: 0,
            run: unexplained_run,
            incarnation: incarnation.clone(),
        });
        progress.steps[0].tasks[0].state = State::Placed(incarnation);
        usable(&Record::Progressed { job: 7, progress })
    };
    assert!(usable_with(9, 2, 7, 8, 6));
    let max = u32::MAX;
    assert_eq!(
        [
            usable_with(max, 0, 0, 0, 1),
            usable_with(1, max, 0, 0, 1),
            usable_with(1, 0, max, 0, 1),
            usable_with(1, 0, 0, max, 1),
            usable_with(1, 0, 0, 0, max),
        ],
        [false; 5]
    );
    let tasks = Progress::new(&vec![
        Step {
            tasks: u16::MAX,
            ..Step::default()
        };
        8
    ]);
    assert!(!usable(&Record::Progressed {
        job: 7,
        progress: tasks
    }));
}

/// Guards against a log in which no entry can become the decider, because one claim has the highest epoch.
#[test]
fn claim_that_no_entry_can_follow_is_rejected() {
    let next = |after| godwitstep_batch::claim::next_epoch(after, 3);
    let mut accepted = Vec::new();
    for epoch in [u64::MAX, u64::MAX >> 1, 1 << 63, 1 << 53, u64::MAX << 20] {
        if usable(&claim(epoch, "10.0.0.1:7000")) {
            accepted.push(epoch);
        }
        assert!(
            next(epoch) > epoch || !usable(&claim(epoch, "10.0.0.1:7000")),
            "after {epoch}"
        );
    }
    assert_eq!(accepted, Vec::<u64>::new());
    assert!(usable(&claim(1 << 40, "10.0.0.1:7000")));
}

/// Guards against a later claim of a lower epoch, which the log would have fenced, in the place of the decider's.
#[test]
fn claim_below_the_newest_epoch_is_ignored() {
    let mut ledger = Ledger::default();
    ledger.apply(5, claim(7 << 20, "10.0.0.1:7000"));
    ledger.apply(6, claim(2 << 20, "10.0.0.9:7000"));
    assert_eq!(ledger.epoch(), 7 << 20);
}

/// Guards against entries and agents that call an address at which no process can be reached.
#[test]
fn unusable_address_names_no_entry() {
    let addresses = [
        "0.0.0.0:7000",
        "10.0.0.1:0",
        "224.0.0.1:7000",
        "255.255.255.255:7000",
        "[::]:7000",
    ];
    let accepted: Vec<&str> = addresses
        .into_iter()
        .filter(|address| usable(&announcement(address)) || usable(&claim(1 << 20, address)))
        .collect();
    assert_eq!(accepted, Vec::<&str>::new());
    assert!(usable(&announcement("127.0.0.1:7000")) && usable(&announcement("[::1]:7000")));
}

/// Guards against an entry that claims below an epoch that the log fences for ever, or after a claim that it can follow.
#[test]
fn epoch_after_a_fenced_claim_exceeds_any_other_within_a_few_claims() {
    let claim = godwitstep_batch::claim::epoch_to_follow;
    assert_eq!(claim(5 << 20, None), 5 << 20);
    assert_eq!(claim(6 << 20, Some((5 << 20, 9 << 20))), 6 << 20);
    let mut epoch = 1 << 20;
    for _ in 0..40 {
        epoch = godwitstep_batch::claim::next_epoch(claim(1, Some((1, epoch))), 3);
    }
    assert!(epoch > 1 << 50 && usable(&self::claim(epoch, "10.0.0.1:7000")));
}
