//! Size and coding time of frames on the links.

use super::Row;
use godwitstep_core::OperatingMode;
use godwitstep_core::planner::{Running, Worker};
use godwitstep_wire::{Announce, Frame, Heartbeat, Part, Rules};
use std::hint::black_box;
use std::time::{Duration, Instant};

/// Number of times that each frame is encoded and decoded.
const ITERATIONS: u32 = 5_000;

/// Measures several kinds of frames.
pub(super) fn rows() -> Vec<Row> {
    let mut rows = Vec::new();
    let heartbeat = Heartbeat {
        sequence: 123_456,
        load: None,
        busy_accelerators: Some(28),
        rules: None,
        targets: Vec::new(),
    };
    rows.push(measure(
        "heartbeat_agent",
        0,
        &Frame::Heartbeat(heartbeat.clone()),
    ));
    let rules = Rules {
        operating_mode: OperatingMode::Normal,
        version: 1_234_567,
        out_of_service: vec!["karratha-shed".into()],
        epoch: 1_234_000,
        deciding: false,
    };
    let entry_heartbeat = Heartbeat {
        busy_accelerators: None,
        rules: Some(rules),
        ..heartbeat
    };
    rows.push(measure(
        "heartbeat_entry",
        0,
        &Frame::Heartbeat(entry_heartbeat),
    ));
    let part = Part {
        epoch: 1_234_000,
        job: "nesting-20261204-000123".into(),
        attempt: 1,
        tasks: 8,
        accelerators: 8,
        run: Some(Duration::from_secs(3600)),
    };
    rows.push(measure("reserve", 1, &Frame::Reserve(part.clone())));
    rows.push(measure("commit", 1, &Frame::Commit(part)));
    for parts in [0, 1, 2, 4, 8, 16, 32, 64] {
        rows.push(measure("announce", parts, &announce_frame(parts)));
    }
    rows
}

fn announce_frame(parts: u32) -> Frame {
    let inventory = (0..parts).map(|number| Running {
        job: format!("nesting-20261204-{number:06}").into(),
        attempt: 1,
        tasks: 1,
        accelerators: 1,
        settled: true,
    });
    Frame::Announce(Announce {
        target: None,
        worker: Some(Worker {
            id: "karratha-shed-worker-01".into(),
            incarnation: 1_796_000_000_000_000,
            domain: "karratha-shed".into(),
            rack: "rack-1".into(),
            accelerators: 64,
        }),
        inventory: inventory.collect(),
        leaving: false,
        epoch: 1_234_000,
    })
}

fn measure(kind: &'static str, parts: u32, frame: &Frame) -> Row {
    let bytes = frame.encode();
    let start = Instant::now();
    for _ in 0..ITERATIONS {
        black_box(black_box(frame).encode());
    }
    let encode_time = start.elapsed() / ITERATIONS;
    let start = Instant::now();
    for _ in 0..ITERATIONS {
        let _ = black_box(Frame::decode(black_box(&bytes)));
    }
    let decode_time = start.elapsed() / ITERATIONS;
    Row::Frame {
        kind,
        parts,
        bytes: bytes.len(),
        encode_us: super::micros(encode_time),
        decode_us: super::micros(decode_time),
    }
}
