//! Tests that readers of the same records agree, and that stale or repeated records have no effect.

use godwitstep_core::reason::Reason;
use godwitstep_core::record::{Envelope, Event, Expect, Part, Spec, Subject};
use godwitstep_core::registry::{
    Change, MAX_FINAL_JOBS, MAX_PART_BYTES, Outcome, Rebuild, Registry, Stream,
};
use godwitstep_core::resource::{Domain, Job, Kind, Phase, Priority, Workspace};
use proptest::collection::vec;
use proptest::prelude::*;
use std::time::Duration;

/// Time at which all records are folded, by the reader's clock.
const FOLD_TIME: Duration = Duration::from_secs(1);
const REGION: &str = "dk-vest";

fn name(index: u8) -> String {
    format!("n{index}")
}

fn workspace(rank: u32) -> Workspace {
    let kind = Kind {
        name: "confirmation".into(),
        priority: Priority::Normal,
        objective_ms: 500,
        refund: 0.5,
    };
    Workspace {
        rank,
        token: Some("a\"b".into()),
        ..Workspace::new(vec![kind])
    }
}

fn expect() -> impl Strategy<Value = Expect> {
    prop_oneof![
        Just(Expect::Any),
        Just(Expect::Absent),
        (0..30u64).prop_map(Expect::Version)
    ]
}

fn config_event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..3u8, 0..3u32, expect()).prop_map(|(index, rank, expect)| Event::Declare {
            name: name(index).into(),
            spec: Spec::Workspace(workspace(rank)),
            expect,
        }),
        (0..2u8, any::<bool>(), expect()).prop_map(|(index, in_service, expect)| Event::Declare {
            name: name(index).into(),
            spec: Spec::Domain(Domain {
                region: REGION.into(),
                in_service
            }),
            expect,
        }),
        (0..3u8, expect()).prop_map(|(index, expect)| Event::Remove {
            subject: Subject::Workspace(name(index).into()),
            expect,
        }),
    ]
}

/// Epochs are the offsets of earlier claims, so small random numbers match one often enough.
fn job_event() -> impl Strategy<Value = Event> {
    let job = || (0..3u8).prop_map(|index| name(index).into());
    let attempt = || 0..4u32;
    let epoch = || 0..12u64;
    let phase = prop_oneof![
        Just(Phase::Done),
        Just(Phase::Failed),
        Just(Phase::Queued),
        Just(Phase::Unknown)
    ];
    prop_oneof![
        2 => (job(), prop_oneof![4 => Just(1u32), 1 => Just(2u32)]).prop_map(|(job, tasks)| Event::Submit {
            job, spec: Job::new("council", "pattern-nesting", tasks, 1),
        }),
        1 => job().prop_map(|job| Event::Cancel { job }),
        4 => (job(), attempt(), epoch()).prop_map(|(job, attempt, epoch)| Event::Start {
            job, attempt, epoch,
            parts: vec![Part { worker: "w".into(), tasks: 1, accelerators: 1 }],
            reason: Reason::Placed { workers: vec!["w".into()], borrowed: false },
        }),
        2 => (job(), attempt(), epoch()).prop_map(|(job, attempt, epoch)| Event::Requeue {
            job, attempt, epoch, reason: Reason::WorkerLost { worker: "w".into() },
        }),
        2 => (job(), attempt(), epoch(), phase).prop_map(|(job, attempt, epoch, phase)| Event::End {
            job, attempt, epoch, phase, reason: Reason::Completed,
        }),
        2 => (0..2u64, epoch()).prop_map(|(incarnation, replaces)| Event::Claim {
            region: REGION.into(), holder: "entry-1".into(), incarnation, replaces,
        }),
        1 => epoch().prop_map(|epoch| Event::Renew { region: REGION.into(), epoch }),
    ]
}

/// Replaces the attempt and epoch of a decider's event with the currently correct ones.
fn correct_references(registry: &Registry, event: &mut Event) {
    let current_attempt = |job: &str| registry.job(job).map_or(0, |state| state.status.attempt);
    match event {
        Event::Start {
            job,
            attempt,
            epoch,
            ..
        } => {
            (*attempt, *epoch) = (current_attempt(job) + 1, registry.epoch());
        }
        Event::Requeue {
            job,
            attempt,
            epoch,
            ..
        }
        | Event::End {
            job,
            attempt,
            epoch,
            ..
        } => {
            (*attempt, *epoch) = (current_attempt(job), registry.epoch());
        }
        Event::Claim { replaces, .. } => *replaces = registry.epoch(),
        Event::Renew { epoch, .. } => *epoch = registry.epoch(),
        _ => {}
    }
}

/// Generates records of three writers. Most have the next sequence number and events that are valid
/// at that time; the others are repeated or reordered, skip sequence numbers, or are written by a
/// replaced decider.
fn random_log(
    stream: Stream,
    event: impl Strategy<Value = Event>,
) -> impl Strategy<Value = Vec<Envelope>> {
    let usually = || prop::bool::weighted(0.8);
    let record = (0..3u8, usually(), 0..20u64, vec((event, usually()), 0..3));
    vec(record, 0..40).prop_map(move |records| {
        let mut registry = Registry::new(REGION);
        let mut newest_sequences = [0; 3];
        let mut log = Vec::new();
        for (offset, (writer, next, sequence, events)) in (0..).zip(records) {
            let newest = &mut newest_sequences[usize::from(writer)];
            *newest += u64::from(next);
            let sequence = if next { *newest } else { sequence };
            let events = events.into_iter().map(|(mut event, correct)| {
                if correct {
                    correct_references(&registry, &mut event);
                }
                event
            });
            let record = Envelope::new(name(writer), 1, sequence, events.collect());
            registry
                .fold(stream, offset, &record, FOLD_TIME)
                .expect("no gap");
            log.push(record);
        }
        log
    })
}

fn random_stream_log() -> impl Strategy<Value = (Stream, Vec<Envelope>)> {
    prop_oneof![
        random_log(Stream::Config, config_event()).prop_map(|log| (Stream::Config, log)),
        random_log(Stream::Jobs, job_event()).prop_map(|log| (Stream::Jobs, log)),
    ]
}

fn fold_all(stream: Stream, log: &[Envelope]) -> Registry {
    let mut registry = Registry::new(REGION);
    for (offset, record) in (0..).zip(log) {
        registry
            .fold(stream, offset, record, FOLD_TIME)
            .expect("no gap");
    }
    registry
}

/// Returns the current version of the resource that a change refers to, and the precondition of the
/// change.
fn version_and_precondition(registry: &Registry, event: &Event) -> Option<(Option<u64>, Expect)> {
    let (subject, expect) = match event {
        Event::Declare {
            name,
            spec: Spec::Workspace(_),
            expect,
        } => (Subject::Workspace(name.clone()), expect),
        Event::Declare { name, expect, .. } => (Subject::Domain(name.clone()), expect),
        Event::Remove { subject, expect } => (subject.clone(), expect),
        _ => return None,
    };
    let version = match subject {
        Subject::Workspace(name) => registry.workspace(&name).map(|item| item.version),
        Subject::Domain(name) => registry.domain(&name).map(|item| item.version),
    };
    Some((version, *expect))
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a reader that starts from a snapshot and then differs from the others in its
    /// state or in the later records that it ignores. The snapshot covers the first `snapshot_at`
    /// records and is written `lag` records later; the reader starts `overlap` records before the
    /// end of the covered ones.
    #[test]
    fn readers_agree((stream, log) in random_stream_log(), snapshot_at in 0..40usize, lag in 0..10usize, overlap in 0..10usize) {
        let snapshot_at = snapshot_at.min(log.len());
        let parts = fold_all(stream, &log[..snapshot_at]).snapshot(stream);
        let mut log_with_snapshot = log.clone();
        let insert_at = (snapshot_at + lag).min(log.len());
        for (sequence, part) in (1..).zip(parts.clone()) {
            log_with_snapshot.insert(insert_at, Envelope::new("snapshots", 1, sequence, vec![part]));
        }
        let reader = fold_all(stream, &log_with_snapshot);
        let start = snapshot_at.saturating_sub(overlap);
        let mut rebuild = Rebuild::new(REGION, stream, start as u64);
        for (offset, record) in (start as u64..).zip(&log_with_snapshot[start..]) {
            rebuild.fold(offset, record, FOLD_TIME).expect("no gap");
        }
        if !parts.is_empty() || start == 0 {
            let rebuilt = rebuild.ready().expect("a complete snapshot was read");
            prop_assert_eq!(rebuilt.snapshot(stream), reader.snapshot(stream));
            let mut old = fold_all(stream, &log[..snapshot_at / 2]);
            let changes = old.adopt(rebuild, FOLD_TIME).expect("ready and not behind");
            prop_assert_eq!(old.snapshot(stream), reader.snapshot(stream));
            prop_assert_eq!(old.position(stream), log_with_snapshot.len() as u64);
            prop_assert!(changes.len() <= 16);
        }
    }

    /// Guards against lost updates: a change based on a version other than the current one must not
    /// take effect.
    #[test]
    fn a_stale_change_has_no_effect(log in random_log(Stream::Config, config_event())) {
        let mut registry = Registry::new(REGION);
        for (offset, record) in (0..).zip(log) {
            for event in &record.events {
                let single_event = Envelope::new("w", 1, offset + 1, vec![event.clone()]);
                let mut copy = registry.clone();
                let (version, expect) = version_and_precondition(&registry, event).expect("a change of a resource");
                let fold = copy.fold(Stream::Config, offset, &single_event, FOLD_TIME).expect("no gap");
                let stale = match expect {
                    Expect::Any => false,
                    Expect::Absent => version.is_some(),
                    Expect::Version(expected) => version != Some(expected),
                };
                prop_assert_eq!(stale, fold.outcomes == [Outcome::Conflict(version)]);
                prop_assert!(!stale || fold.changes.is_empty());
            }
            registry.fold(Stream::Config, offset, &record, FOLD_TIME).expect("no gap");
        }
    }

    /// Guards against an append that is retried after a lost reply and takes effect twice,
    /// immediately or after later records of the same writer.
    #[test]
    fn a_repeated_append_has_one_effect((stream, log) in random_stream_log(), skipped in 0..40usize) {
        let mut registry = fold_all(stream, &log);
        for record in log.iter().skip(skipped).chain(&log) {
            let fold = registry.fold(stream, registry.position(stream), record, FOLD_TIME).expect("no gap");
            prop_assert!(fold.changes.is_empty());
            prop_assert!(fold.outcomes.iter().all(|outcome| *outcome == Outcome::Duplicate));
        }
    }

    /// Guards against a job that leaves a final phase or runs under a replaced decider, and against
    /// versions that decrease.
    #[test]
    fn job_versions_and_phases_never_regress(log in random_log(Stream::Jobs, job_event())) {
        let mut registry = Registry::new(REGION);
        for (offset, record) in (0..).zip(&log) {
            let before = registry.clone();
            registry.fold(Stream::Jobs, offset, record, FOLD_TIME).expect("no gap");
            prop_assert!(registry.epoch() >= before.epoch());
            for (name, old) in before.jobs() {
                let new = registry.job(name).expect("a retained job");
                prop_assert!(new.version >= old.version);
                prop_assert!(new.status.attempt >= old.status.attempt);
                prop_assert!(!old.status.phase.is_final() || old == new);
            }
        }
    }

    /// Guards against a watch that loses or repeats changes when it resumes.
    #[test]
    fn a_watch_resumes_without_loss_or_repetition((stream, log) in random_stream_log(), consumed in 0..20usize) {
        let mut registry = Registry::new(REGION);
        let mut all_changes = Vec::new();
        for (offset, record) in (0..).zip(&log) {
            all_changes.extend(registry.fold(stream, offset, record, FOLD_TIME).expect("no gap").changes);
        }
        let consumed_events: Vec<_> = registry.watch(stream, 0).expect("retained changes").take(consumed).collect();
        let resume = consumed_events.last().map_or(0, |event| event.resume);
        let mut received: Vec<_> = consumed_events.iter().filter(|event| event.offset < resume).map(|event| event.change.clone()).collect();
        received.extend(registry.watch(stream, resume).expect("retained changes").map(|event| event.change.clone()));
        prop_assert_eq!(received, all_changes);
        let end = registry.watch(stream, 0).expect("retained changes").last().map_or(0, |last| last.resume);
        prop_assert_eq!(registry.watch(stream, end).expect("retained changes").count(), 0);
    }
}

fn submit(job: &str) -> Event {
    Event::Submit {
        job: job.into(),
        spec: Job::new("council", "pattern-nesting", 1, 1),
    }
}

fn append_job_event(registry: &mut Registry, event: Event) -> (Outcome, Vec<Change>) {
    let offset = registry.position(Stream::Jobs);
    let record = Envelope::new("entry-1", 1, offset + 1, vec![event]);
    let fold = registry
        .fold(Stream::Jobs, offset, &record, FOLD_TIME)
        .expect("no gap");
    (fold.outcomes[0], fold.changes)
}

/// Guards against state that grows with every job ever run, snapshot parts above the record size
/// limit, and watchers that miss changes instead of getting an error that makes them list again.
#[test]
fn state_history_and_parts_are_bounded() {
    let mut registry = Registry::new(REGION);
    for index in 0..MAX_FINAL_JOBS + 10 {
        append_job_event(&mut registry, submit(&format!("job-{index}")));
        append_job_event(
            &mut registry,
            Event::Cancel {
                job: format!("job-{index}").as_str().into(),
            },
        );
    }
    assert_eq!(registry.jobs().count(), MAX_FINAL_JOBS);
    assert!(registry.job("job-9").is_none() && registry.job("job-10").is_some());
    assert!(registry.watch(Stream::Jobs, 0).is_err());
    let parts = registry.snapshot(Stream::Jobs);
    assert!(parts.len() > 2);
    for part in &parts {
        let text =
            serde_json::to_string(&Envelope::new("entry-1", u64::MAX, 1, vec![part.clone()]));
        assert!(
            text.expect("a serializable part").len() <= 64 * 1024 && MAX_PART_BYTES < 64 * 1024
        );
    }
}

/// Guards against a decider that is replaced while paused and then starts a job, and against two
/// concurrent attempts of one job.
#[test]
fn only_the_current_epoch_starts_the_next_attempt() {
    let mut registry = Registry::new(REGION);
    append_job_event(&mut registry, submit("j"));
    let claim = |replaces| Event::Claim {
        region: REGION.into(),
        holder: "entry-1".into(),
        incarnation: 1,
        replaces,
    };
    assert_eq!(
        append_job_event(&mut registry, claim(0)).0,
        Outcome::Applied(1)
    );
    assert_eq!(
        append_job_event(&mut registry, claim(0)).0,
        Outcome::Conflict(Some(1))
    );
    assert_eq!(
        append_job_event(&mut registry, claim(1)).0,
        Outcome::Applied(3)
    );
    let start = |epoch, attempt| Event::Start {
        job: "j".into(),
        attempt,
        epoch,
        parts: vec![Part {
            worker: "w".into(),
            tasks: 1,
            accelerators: 1,
        }],
        reason: Reason::Accepted,
    };
    assert_eq!(
        append_job_event(&mut registry, start(1, 1)).0,
        Outcome::Conflict(Some(0))
    );
    assert_eq!(
        append_job_event(&mut registry, start(3, 2)).0,
        Outcome::Conflict(Some(0))
    );
    assert_eq!(
        append_job_event(&mut registry, start(3, 1)).0,
        Outcome::Applied(6)
    );
    assert_eq!(
        append_job_event(&mut registry, start(3, 2)).0,
        Outcome::Conflict(Some(6))
    );
    let stale = Event::Renew {
        region: REGION.into(),
        epoch: 1,
    };
    assert_eq!(
        append_job_event(&mut registry, stale).0,
        Outcome::Conflict(Some(3))
    );
    assert_eq!(registry.claim_age(FOLD_TIME + FOLD_TIME), Some(FOLD_TIME));
    append_job_event(&mut registry, Event::Cancel { job: "j".into() });
    let requeue = Event::Requeue {
        job: "j".into(),
        attempt: 1,
        epoch: 3,
        reason: Reason::Accepted,
    };
    append_job_event(&mut registry, requeue);
    let job = registry.job("j").expect("a retained job");
    assert_eq!(job.status.phase, Phase::Cancelled);
}

/// Guards against starts of a partial gang, of more than the gang, or with a worker listed twice.
#[test]
fn only_whole_gangs_start() {
    let part = |worker: &str, tasks, accelerators| Part {
        worker: worker.into(),
        tasks,
        accelerators,
    };
    let can_start = |parts: Vec<Part>| {
        let mut registry = Registry::new(REGION);
        let spec = Job::new("council", "pattern-nesting", 3, 2);
        append_job_event(
            &mut registry,
            Event::Submit {
                job: "j".into(),
                spec,
            },
        );
        let claim = Event::Claim {
            region: REGION.into(),
            holder: "entry-1".into(),
            incarnation: 1,
            replaces: 0,
        };
        append_job_event(&mut registry, claim);
        let start = Event::Start {
            job: "j".into(),
            attempt: 1,
            epoch: 1,
            parts,
            reason: Reason::Accepted,
        };
        append_job_event(&mut registry, start).0 == Outcome::Applied(2)
    };
    assert!(can_start(vec![part("v", 2, 4), part("w", 1, 2)]));
    assert!(!can_start(vec![]));
    assert!(!can_start(vec![part("v", 2, 4)]));
    assert!(!can_start(vec![part("v", 2, 4), part("w", 2, 4)]));
    assert!(!can_start(vec![part("v", 2, 4), part("v", 1, 2)]));
    assert!(!can_start(vec![part("v", 2, 2), part("w", 1, 2)]));
    assert!(!can_start(vec![part("v", 3, 6), part("w", 0, 0)]));
}

/// Guards against a late append of a process that was replaced by another with the same name.
#[test]
fn older_incarnations_of_a_writer_have_no_effect() {
    let mut registry = Registry::new(REGION);
    for (offset, incarnation, outcome) in [
        (0, 7, Outcome::Applied(0)),
        (1, 8, Outcome::Applied(1)),
        (2, 7, Outcome::Duplicate),
    ] {
        let event = submit(&format!("job-{offset}"));
        let record = Envelope::new("entry-1", incarnation, offset + 1, vec![event]);
        let fold = registry
            .fold(Stream::Jobs, offset, &record, FOLD_TIME)
            .expect("no gap");
        assert_eq!(fold.outcomes, [outcome]);
    }
}

/// Guards against a reader that continues although the log has dropped records that it has not
/// folded.
#[test]
fn a_gap_is_refused() {
    let mut registry = Registry::new(REGION);
    let record = Envelope::new("entry-1", 1, 1, vec![submit("j")]);
    assert!(registry.fold(Stream::Jobs, 1, &record, FOLD_TIME).is_err());
    assert_eq!(registry.position(Stream::Jobs), 0);
}
