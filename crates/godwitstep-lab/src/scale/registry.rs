//! Memory of the registry that folds the log, by jobs and workspaces. Includes its watch history,
//! which holds up to 4,096 changes.

use super::{Row, memory};
use godwitstep_core::Reason;
use godwitstep_core::id::Name;
use godwitstep_core::record::{Envelope, Event, Expect, Part, Spec};
use godwitstep_core::registry::{Registry, Stream};
use godwitstep_core::resource::{Guarantee, Job, Kind, Priority, Shape, Workspace};
use std::time::{Duration, Instant};

/// Parts of each job that is recorded as running.
const PARTS: u32 = 3;
/// Tasks of each part.
const TASKS: u32 = 6;
/// Offset of the claim. Epoch 0 stands for no claim, so it is not the first record.
const EPOCH: u64 = 1;

/// Measures registries of several sizes.
pub(super) fn rows() -> Vec<Row> {
    let mut rows = Vec::new();
    for count in [1_000, 10_000, 30_000] {
        let submit = |number| {
            vec![Event::Submit {
                job: job(number),
                spec: Job::new("council", "pattern-nesting", PARTS * TASKS, 1),
            }]
        };
        let start = |number| {
            let mut events = submit(number);
            events.push(start(number));
            events
        };
        rows.push(measure("queued_job", Stream::Jobs, count, submit));
        rows.push(measure("running_job", Stream::Jobs, count, start));
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

fn job(number: usize) -> Name {
    format!("nesting-20261204-{number:06}").into()
}

fn start(number: usize) -> Event {
    let part = |at| Part {
        worker: format!("karratha-shed-worker-{at:02}").into(),
        tasks: TASKS,
        accelerators: TASKS,
    };
    let parts: Vec<Part> = (0..PARTS).map(part).collect();
    let workers = parts.iter().map(|part| part.worker.clone()).collect();
    Event::Start {
        job: job(number),
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
    let mut spent = Duration::ZERO;
    let _ = registry.skip(stream, 0);
    let records = std::iter::once(vec![claim]).chain((0..count).map(events));
    for (offset, events) in (EPOCH..).zip(records) {
        let record = Envelope::new("entry-1", 1, offset, events);
        let begin = Instant::now();
        let _ = registry.fold(stream, offset, &record, Duration::ZERO);
        spent += begin.elapsed();
    }
    let bytes = memory::bytes_of(registry);
    let folds = u32::try_from(count).unwrap_or(u32::MAX);
    Row::Registry {
        kind,
        count,
        bytes,
        bytes_each: bytes / count,
        fold_us: super::micros(spent / folds),
    }
}
