//! Readers of the same records must agree, and stale or repeated records must have no effect.

use godwitstep_core::reason::Reason;
use godwitstep_core::record::{Envelope, Event, Expect, Part, Spec, Subject};
use godwitstep_core::registry::{
    Change, MAX_FINAL_JOBS, MAX_PART, Outcome, Rebuild, Registry, Stream,
};
use godwitstep_core::resource::{Domain, Job, Kind, Phase, Priority, Workspace};
use proptest::collection::vec;
use proptest::prelude::*;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1);
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

/// Epochs are offsets of earlier claims; small numbers hit one often enough.
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

/// Puts the numbers into a decider's event that are right at the moment.
fn right(registry: &Registry, event: &mut Event) {
    let attempts = |job: &str| registry.job(job).map_or(0, |state| state.status.attempt);
    match event {
        Event::Start {
            job,
            attempt,
            epoch,
            ..
        } => {
            (*attempt, *epoch) = (attempts(job) + 1, registry.epoch());
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
            (*attempt, *epoch) = (attempts(job), registry.epoch());
        }
        Event::Claim { replaces, .. } => *replaces = registry.epoch(),
        Event::Renew { epoch, .. } => *epoch = registry.epoch(),
        _ => {}
    }
}

/// Records of a few writers. Most have the next number and events that are right when they are
/// written; the others are repeated, reordered, given up, or written by a replaced decider.
fn log(
    stream: Stream,
    event: impl Strategy<Value = Event>,
) -> impl Strategy<Value = Vec<Envelope>> {
    let mostly = || prop::bool::weighted(0.8);
    let record = (0..3u8, mostly(), 0..20u64, vec((event, mostly()), 0..3));
    vec(record, 0..40).prop_map(move |records| {
        let mut registry = Registry::new(REGION);
        let mut newest = [0; 3];
        let mut log = Vec::new();
        for (offset, (writer, next, sequence, events)) in (0..).zip(records) {
            let newest = &mut newest[usize::from(writer)];
            *newest += u64::from(next);
            let sequence = if next { *newest } else { sequence };
            let events = events.into_iter().map(|(mut event, legal)| {
                if legal {
                    right(&registry, &mut event);
                }
                event
            });
            let record = Envelope::new(name(writer), 1, sequence, events.collect());
            registry.fold(stream, offset, &record, NOW).expect("no gap");
            log.push(record);
        }
        log
    })
}

fn logs() -> impl Strategy<Value = (Stream, Vec<Envelope>)> {
    prop_oneof![
        log(Stream::Config, config_event()).prop_map(|log| (Stream::Config, log)),
        log(Stream::Jobs, job_event()).prop_map(|log| (Stream::Jobs, log)),
    ]
}

fn fold_all(stream: Stream, log: &[Envelope]) -> Registry {
    let mut registry = Registry::new(REGION);
    for (offset, record) in (0..).zip(log) {
        registry.fold(stream, offset, record, NOW).expect("no gap");
    }
    registry
}

/// Version of the resource that a conditional change is about.
fn current(registry: &Registry, event: &Event) -> Option<(Option<u64>, Expect)> {
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

    /// Guards against a reader that starts from a snapshot and then differs from the others, in
    /// state or in which later records it skips.
    #[test]
    fn readers_agree((stream, log) in logs(), cut in 0..40usize, lag in 0..10usize, back in 0..10usize) {
        let cut = cut.min(log.len());
        let parts = fold_all(stream, &log[..cut]).snapshot(stream);
        let mut whole = log.clone();
        let at = (cut + lag).min(log.len());
        for (sequence, part) in (1..).zip(parts.clone()) {
            whole.insert(at, Envelope::new("snapshots", 1, sequence, vec![part]));
        }
        let reader = fold_all(stream, &whole);
        let start = cut.saturating_sub(back);
        let mut rebuild = Rebuild::new(REGION, stream, start as u64);
        for (offset, record) in (start as u64..).zip(&whole[start..]) {
            rebuild.fold(offset, record, NOW).expect("no gap");
        }
        if !parts.is_empty() || start == 0 {
            let rebuilt = rebuild.ready().expect("a whole snapshot was read");
            prop_assert_eq!(rebuilt.snapshot(stream), reader.snapshot(stream));
            let mut old = fold_all(stream, &log[..cut / 2]);
            let changes = old.adopt(rebuild, NOW).expect("ready and not behind");
            prop_assert_eq!(old.snapshot(stream), reader.snapshot(stream));
            prop_assert_eq!(old.position(stream), whole.len() as u64);
            prop_assert!(changes.len() <= 16);
        }
    }

    /// Guards against a lost update: a change that was prepared on another version than the
    /// current one must not take effect.
    #[test]
    fn stale_change_has_no_effect(log in log(Stream::Config, config_event())) {
        let mut registry = Registry::new(REGION);
        for (offset, record) in (0..).zip(log) {
            for event in &record.events {
                let alone = Envelope::new("w", 1, offset + 1, vec![event.clone()]);
                let mut copy = registry.clone();
                let (version, expect) = current(&registry, event).expect("a declared resource");
                let fold = copy.fold(Stream::Config, offset, &alone, NOW).expect("no gap");
                let stale = match expect {
                    Expect::Any => false,
                    Expect::Absent => version.is_some(),
                    Expect::Version(expected) => version != Some(expected),
                };
                prop_assert_eq!(stale, fold.outcomes == [Outcome::Conflict(version)]);
                prop_assert!(!stale || fold.changes.is_empty());
            }
            registry.fold(Stream::Config, offset, &record, NOW).expect("no gap");
        }
    }

    /// Guards against an append that is repeated after a lost reply and takes effect twice, at
    /// once or after later records of the same writer.
    #[test]
    fn repeated_append_has_one_effect((stream, log) in logs(), again in 0..40usize) {
        let mut registry = fold_all(stream, &log);
        for record in log.iter().skip(again).chain(&log) {
            let fold = registry.fold(stream, registry.position(stream), record, NOW).expect("no gap");
            prop_assert!(fold.changes.is_empty());
            prop_assert!(fold.outcomes.iter().all(|outcome| *outcome == Outcome::Duplicate));
        }
    }

    /// Guards against a job that leaves a final phase or runs under a replaced decider, and against
    /// versions that go back.
    #[test]
    fn jobs_only_move_forward(log in log(Stream::Jobs, job_event())) {
        let mut registry = Registry::new(REGION);
        for (offset, record) in (0..).zip(&log) {
            let before = registry.clone();
            registry.fold(Stream::Jobs, offset, record, NOW).expect("no gap");
            prop_assert!(registry.epoch() >= before.epoch());
            for (name, old) in before.jobs() {
                let new = registry.job(name).expect("kept");
                prop_assert!(new.version >= old.version);
                prop_assert!(new.status.attempt >= old.status.attempt);
                prop_assert!(!old.status.phase.is_final() || old == new);
            }
        }
    }

    /// Guards against a watch that loses or repeats changes when it resumes.
    #[test]
    fn watch_resumes_without_loss((stream, log) in logs(), stop in 0..20usize) {
        let mut registry = Registry::new(REGION);
        let mut all = Vec::new();
        for (offset, record) in (0..).zip(&log) {
            all.extend(registry.fold(stream, offset, record, NOW).expect("no gap").changes);
        }
        let first: Vec<_> = registry.watch(stream, 0).expect("kept").take(stop).collect();
        let from = first.last().map_or(0, |notice| notice.resume);
        let mut seen: Vec<_> = first.iter().filter(|n| n.offset < from).map(|n| n.change.clone()).collect();
        seen.extend(registry.watch(stream, from).expect("kept").map(|notice| notice.change.clone()));
        prop_assert_eq!(seen, all);
        let end = registry.watch(stream, 0).expect("kept").last().map_or(0, |last| last.resume);
        prop_assert_eq!(registry.watch(stream, end).expect("kept").count(), 0);
    }
}

fn submit(job: &str) -> Event {
    Event::Submit {
        job: job.into(),
        spec: Job::new("council", "pattern-nesting", 1, 1),
    }
}

fn push(registry: &mut Registry, event: Event) -> (Outcome, Vec<Change>) {
    let offset = registry.position(Stream::Jobs);
    let record = Envelope::new("entry-1", 1, offset + 1, vec![event]);
    let fold = registry
        .fold(Stream::Jobs, offset, &record, NOW)
        .expect("no gap");
    (fold.outcomes[0], fold.changes)
}

/// Guards against state that grows with every job ever run, snapshot parts above a record's size,
/// and watchers that miss changes instead of being told to list again.
#[test]
fn state_history_and_parts_are_bounded() {
    let mut registry = Registry::new(REGION);
    for index in 0..MAX_FINAL_JOBS + 10 {
        push(&mut registry, submit(&format!("job-{index}")));
        push(
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
        assert!(text.expect("text").len() <= 64 * 1024 && MAX_PART < 64 * 1024);
    }
}

/// Guards against a decider that was replaced while it was paused and then starts a job, and
/// against two attempts of one job.
#[test]
fn only_the_current_epoch_starts_the_next_attempt() {
    let mut registry = Registry::new(REGION);
    push(&mut registry, submit("j"));
    let claim = |replaces| Event::Claim {
        region: REGION.into(),
        holder: "entry-1".into(),
        incarnation: 1,
        replaces,
    };
    assert_eq!(push(&mut registry, claim(0)).0, Outcome::Won(1));
    assert_eq!(push(&mut registry, claim(0)).0, Outcome::Conflict(Some(1)));
    assert_eq!(push(&mut registry, claim(1)).0, Outcome::Won(3));
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
        push(&mut registry, start(1, 1)).0,
        Outcome::Conflict(Some(0))
    );
    assert_eq!(
        push(&mut registry, start(3, 2)).0,
        Outcome::Conflict(Some(0))
    );
    assert_eq!(push(&mut registry, start(3, 1)).0, Outcome::Won(6));
    assert_eq!(
        push(&mut registry, start(3, 2)).0,
        Outcome::Conflict(Some(6))
    );
    let stale = Event::Renew {
        region: REGION.into(),
        epoch: 1,
    };
    assert_eq!(push(&mut registry, stale).0, Outcome::Conflict(Some(3)));
    assert_eq!(registry.claim_age(NOW + NOW), Some(NOW));
    push(&mut registry, Event::Cancel { job: "j".into() });
    let requeue = Event::Requeue {
        job: "j".into(),
        attempt: 1,
        epoch: 3,
        reason: Reason::Accepted,
    };
    push(&mut registry, requeue);
    let job = registry.job("j").expect("kept");
    assert_eq!(job.status.phase, Phase::Cancelled);
}

/// Guards against the start of a part of a gang, of more than the gang, or twice on one worker.
#[test]
fn only_whole_gangs_start() {
    let part = |worker: &str, tasks, accelerators| Part {
        worker: worker.into(),
        tasks,
        accelerators,
    };
    let starts = |parts: Vec<Part>| {
        let mut registry = Registry::new(REGION);
        let spec = Job::new("council", "pattern-nesting", 3, 2);
        push(
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
        push(&mut registry, claim);
        let start = Event::Start {
            job: "j".into(),
            attempt: 1,
            epoch: 1,
            parts,
            reason: Reason::Accepted,
        };
        push(&mut registry, start).0 == Outcome::Won(2)
    };
    assert!(starts(vec![part("v", 2, 4), part("w", 1, 2)]));
    assert!(!starts(vec![]));
    assert!(!starts(vec![part("v", 2, 4)]));
    assert!(!starts(vec![part("v", 2, 4), part("w", 2, 4)]));
    assert!(!starts(vec![part("v", 2, 4), part("v", 1, 2)]));
    assert!(!starts(vec![part("v", 2, 2), part("w", 1, 2)]));
    assert!(!starts(vec![part("v", 3, 6), part("w", 0, 0)]));
}

/// Guards against a late append of a process that has been replaced under the same name.
#[test]
fn older_lives_of_a_writer_have_no_effect() {
    let mut registry = Registry::new(REGION);
    for (offset, incarnation, outcome) in [
        (0, 7, Outcome::Won(0)),
        (1, 8, Outcome::Won(1)),
        (2, 7, Outcome::Duplicate),
    ] {
        let event = submit(&format!("job-{offset}"));
        let record = Envelope::new("entry-1", incarnation, offset + 1, vec![event]);
        let fold = registry
            .fold(Stream::Jobs, offset, &record, NOW)
            .expect("no gap");
        assert_eq!(fold.outcomes, [outcome]);
    }
}

/// Guards against a reader that folds on after the log has dropped records it needed.
#[test]
fn gap_is_refused() {
    let mut registry = Registry::new(REGION);
    let record = Envelope::new("entry-1", 1, 1, vec![submit("j")]);
    assert!(registry.fold(Stream::Jobs, 1, &record, NOW).is_err());
    assert_eq!(registry.position(Stream::Jobs), 0);
}
