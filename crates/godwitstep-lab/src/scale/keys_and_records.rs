//! Memory of an agent's key table, and encoded size of records in the log.

use super::{Row, memory};
use bytes::Bytes;
use godwitstep_core::key::{AdmissionRequest, End, Owner, Table};
use godwitstep_core::reason::Reason;
use godwitstep_core::record::{Envelope, Event, Expect, Part, Spec};
use godwitstep_core::resource::{Adjacency, Guarantee, Job, Kind, Priority, Shape, Workspace};
use std::time::Duration;

/// Numbers of keys for which the memory of the table is measured.
const KEY_COUNTS: [u64; 4] = [5_000, 10_000, 20_000, 40_000];
/// Numbers of workers of the gangs whose `Start` records are measured. A gang of 512 tasks takes 64
/// workers with 8 accelerators each.
const PART_COUNTS: [u32; 4] = [1, 4, 16, 64];
/// Size of the answer that is stored with each key. Unit: bytes.
const ANSWER_BYTES: usize = 64;

/// Measures key tables of several sizes and several kinds of records.
pub(super) fn rows() -> Vec<Row> {
    let keys = KEY_COUNTS.map(|count| keys_row(count, memory::heap_bytes(key_table(count))));
    let mut rows = Vec::from(keys);
    rows.push(record_row("submit", 0, submit_event()));
    rows.extend(PART_COUNTS.map(|parts| record_row("start", parts, start_event(parts))));
    rows.push(record_row("end", 0, end_event()));
    let renew = Event::Renew {
        region: "pilbara-coast".into(),
        epoch: 1_234_000,
    };
    rows.push(record_row("renew", 0, renew));
    rows.push(record_row("declare_workspace", 0, declare_event()));
    rows
}

fn keys_row(count: u64, bytes: usize) -> Row {
    let per_item = bytes / usize::try_from(count).unwrap_or(1);
    Row::Keys {
        count,
        bytes,
        per_item,
    }
}

fn record_row(kind: &'static str, parts: u32, event: Event) -> Row {
    let envelope = Envelope::new(
        "entry-karratha",
        1_796_000_000_000_000,
        123_456,
        vec![event],
    );
    let bytes = serde_json::to_vec(&envelope).map_or(0, |text| text.len());
    Row::Record { kind, parts, bytes }
}

/// Returns a table with a number of answered keys.
fn key_table(keys: u64) -> Table {
    let mut table = Table::new(Duration::ZERO);
    let now = Duration::from_secs(60);
    for sequence in 0..keys {
        let owner = Owner {
            incarnation: 1,
            sequence,
        };
        let request = AdmissionRequest {
            owner,
            key: format!("airfield-socks/order-{sequence:020}").into(),
            idempotent: false,
            age: Duration::ZERO,
        };
        table.admit(now, &request);
        let answer = End::Answered(Bytes::from(vec![7; ANSWER_BYTES]));
        // Returns no other requests, because each key is requested only once.
        let _ = table.finish(now, owner, &request.key, answer);
    }
    table
}

fn submit_event() -> Event {
    let job = Job::new("airfield-socks", "pattern-nesting", 32, 1)
        .adjacency(Adjacency::Domain)
        .run(Duration::from_secs(4 * 3600))
        .deadline(Duration::from_secs(8 * 3600))
        .checkpointable(true)
        .preemptible(true);
    Event::Submit {
        job: job_name(),
        spec: job,
    }
}

fn start_event(parts: u32) -> Event {
    let workers = (0..parts).map(|worker| format!("karratha-shed-worker-{worker:04}"));
    let parts = workers.clone().map(|worker| Part {
        worker: worker.into(),
        tasks: 8,
        accelerators: 8,
    });
    Event::Start {
        job: job_name(),
        attempt: 1,
        epoch: 1,
        parts: parts.collect(),
        reason: Reason::Placed {
            workers: workers.map(Into::into).collect(),
            borrowed: false,
        },
    }
}

fn end_event() -> Event {
    Event::End {
        job: job_name(),
        attempt: 1,
        epoch: 1,
        phase: godwitstep_core::resource::Phase::Done,
        reason: Reason::Completed,
    }
}

fn declare_event() -> Event {
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

fn job_name() -> std::sync::Arc<str> {
    "airfield-nesting-000417".into()
}
