//! Memory of the registry, which folds the log, by number of jobs and workspaces. Includes its watch
//! history, which holds up to 4,096 changes.

use super::{Row, memory};
use godwitstep_core::Reason;
use godwitstep_core::id::Name;
use godwitstep_core::record::{Envelope, Event, Expect, Part, Spec};
use godwitstep_core::registry::{Registry, Stream};
use godwitstep_core::resource::{Guarantee, Job, Kind, Priority, Shape, Workspace};
use std::time::{Duration, Instant};

/// Number of parts of each running job.
const PARTS_PER_JOB: u32 = 3;
/// Number of tasks of each part.
const TASKS_PER_PART: u32 = 6;
/// Epoch of the claim, which is the offset of its record. Not 0, because epoch 0 means that there is
/// no claim.
const EPOCH: u64 = 1;

/// Measures registries of several sizes.
pub(super) fn rows() -> Vec<Row> {
    let mut rows = Vec::new();
    for count in [1_000, 10_000, 30_000] {
        let submit = |number| {
            vec![Event::Submit {
                job: job_name(number),
                spec: Job::new(
                    "council",
                    "pattern-nesting",
                    PARTS_PER_JOB * TASKS_PER_PART,
                    1,
                ),
            }]
        };
        let submit_and_start = |number| {
            let mut events = submit(number);
            events.push(start_event(number));
            events
        };
        rows.push(measure("queued_job", Stream::Jobs, count, submit));
        rows.push(measure(
            "running_job",
            Stream::Jobs,
            count,
            submit_and_start,
        ));
    }
    for count in [81, 1_000] {
        let declare = |number| {
            vec![Event::Declare {
                name: format!("workspace-{number:04}").into(),
                spec: Spec::Workspace(workspace()),
                expect: Expect::Absent,
            }]
        };
        rows.push(measure("workspace", Stream::Config, count, declare));
    }
    rows
}

fn job_name(number: usize) -> Name {
    format!("nesting-20261204-{number:06}").into()
}

fn start_event(number: usize) -> Event {
    let part = |index| Part {
        worker: format!("karratha-shed-worker-{index:02}").into(),
        tasks: TASKS_PER_PART,
        accelerators: TASKS_PER_PART,
    };
    let parts: Vec<Part> = (0..PARTS_PER_JOB).map(part).collect();
    let workers = parts.iter().map(|part| part.worker.clone()).collect();
    Event::Start {
        job: job_name(number),
        attempt: 1,
        epoch: EPOCH,
        parts,
        reason: Reason::Placed {
            workers,
            borrowed: false,
        },
    }
}

fn workspace() -> Workspace {
    let kind = |name: &str| Kind {
        name: name.into(),
        priority: Priority::Normal,
        objective_ms: 60_000,
        refund: 1.0,
    };
    let mut workspace = Workspace::new(["nesting", "check", "review"].map(kind).to_vec());
    workspace.guarantees = vec![Guarantee {
        shape: Shape::new(16, 1),
        count: 2,
    }];
    workspace
}

/// Folds a claim and `count` records into a new registry. Returns its memory and the time of a fold.
fn measure(
    kind: &'static str,
    stream: Stream,
    count: usize,
    events: impl Fn(usize) -> Vec<Event>,
) -> Row {
    let mut registry = Registry::new("pilbara-coast");
    let claim = Event::Claim {
        region: "pilbara-coast".into(),
        holder: "entry-1".into(),
        incarnation: 1,
        replaces: 0,
    };
    let mut fold_time = Duration::ZERO;
    let _ = registry.skip(stream, 0);
    let records = std::iter::once(vec![claim]).chain((0..count).map(events));
    for (offset, events) in (EPOCH..).zip(records) {
        let record = Envelope::new("entry-1", 1, offset, events);
        let begin = Instant::now();
        let _ = registry.fold(stream, offset, &record, Duration::ZERO);
        fold_time += begin.elapsed();
    }
    let bytes = memory::heap_bytes(registry);
    let folds = u32::try_from(count).unwrap_or(u32::MAX);
    Row::Registry {
        kind,
        count,
        bytes,
        bytes_each: bytes / count,
        fold_us: super::micros(fold_time / folds),
    }
}
