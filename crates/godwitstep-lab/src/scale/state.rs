//! Memory of the agents' key table, and size of records in the log.

use super::{Row, memory};
use bytes::Bytes;
use godwitstep_core::key::{AdmissionRequest, End, Owner, Table};
use godwitstep_core::reason::Reason;
use godwitstep_core::record::{Envelope, Event, Expect, Part, Spec};
use godwitstep_core::resource::{Adjacency, Guarantee, Job, Kind, Priority, Shape, Workspace};
use std::time::Duration;

/// Sizes at which memory is counted.
const KEYS: [u64; 4] = [5_000, 10_000, 20_000, 40_000];
/// Workers of the gangs whose records are measured. A gang of 512 tasks takes 64 workers of 8.
const PARTS: [u32; 4] = [1, 4, 16, 64];
/// Size of the answers that are kept with their keys. Unit: bytes.
const ANSWER: usize = 64;

/// Returns all rows.
pub(super) fn rows() -> Vec<Row> {
    let keys = KEYS.map(|count| memory_of(count, memory::bytes_of(table(count))));
    let mut rows = Vec::from(keys);
    rows.push(record("submit", 0, submit()));
    rows.extend(PARTS.map(|parts| record("start", parts, start(parts))));
    rows.push(record("end", 0, end()));
    let renew = Event::Renew {
        region: "pilbara-coast".into(),
        epoch: 1_234_000,
    };
    rows.push(record("renew", 0, renew));
    rows.push(record("declare_workspace", 0, declare()));
    rows
}

fn memory_of(count: u64, bytes: usize) -> Row {
    let per_item = bytes / usize::try_from(count).unwrap_or(1);
    Row::Keys {
        count,
        bytes,
        per_item,
    }
}

fn record(kind: &'static str, parts: u32, event: Event) -> Row {
    let envelope = Envelope::new(
        "entry-karratha",
        1_796_000_000_000_000,
        123_456,
        vec![event],
    );
    let bytes = serde_json::to_vec(&envelope).map_or(0, |text| text.len());
    Row::Record { kind, parts, bytes }
}

fn table(keys: u64) -> Table {
    let mut table = Table::new(Duration::ZERO);
    let now = Duration::from_secs(60);
    for sequence in 0..keys {
        let owner = Owner {
            incarnation: 1,
            sequence,
        };
        let ask = AdmissionRequest {
            owner,
            key: format!("airfield-socks/order-{sequence:020}").into(),
            idempotent: false,
            age: Duration::ZERO,
        };
        table.admit(now, &ask);
        let answer = End::Answered(Bytes::from(vec![7; ANSWER]));
        // Nobody else waits for these keys.
        let _ = table.finish(now, owner, &ask.key, answer);
    }
    table
}

fn submit() -> Event {
    let job = Job::new("airfield-socks", "pattern-nesting", 32, 1)
        .adjacency(Adjacency::Domain)
        .run(Duration::from_secs(4 * 3600))
        .deadline(Duration::from_secs(8 * 3600))
        .checkpointable(true)
        .preemptible(true);
    Event::Submit {
        job: name(),
        spec: job,
    }
}

fn start(parts: u32) -> Event {
    let workers = (0..parts).map(|worker| format!("karratha-shed-worker-{worker:04}"));
    let parts = workers.clone().map(|worker| Part {
        worker: worker.into(),
        tasks: 8,
        accelerators: 8,
    });
    Event::Start {
        job: name(),
        attempt: 1,
        epoch: 1,
        parts: parts.collect(),
        reason: Reason::Placed {
            workers: workers.map(Into::into).collect(),
            borrowed: false,
        },
    }
}

fn end() -> Event {
    Event::End {
        job: name(),
        attempt: 1,
        epoch: 1,
        phase: godwitstep_core::resource::Phase::Done,
        reason: Reason::Completed,
    }
}

fn declare() -> Event {
    let kind = |name: &str| Kind {
        name: name.into(),
        priority: Priority::Normal,
        objective_ms: 1_500,
        refund: 4.0,
    };
    let mut spec = Workspace::new(vec![kind("pattern-nesting"), kind("seam-check")]);
    spec.guarantees.push(Guarantee {
        shape: Shape::new(16, 1).adjacency(Adjacency::Rack),
        count: 2,
    });
    Event::Declare {
        name: "airfield-socks".into(),
        spec: Spec::Workspace(spec),
        expect: Expect::Version(7),
    }
}

fn name() -> std::sync::Arc<str> {
    "airfield-nesting-000417".into()
}
