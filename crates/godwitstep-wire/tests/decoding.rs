//! Decoding of valid frames, and of invalid frames from a malicious or faulty peer.

use bytes::Bytes;
use godwitstep_core::authority::OperatingMode;
use godwitstep_core::reason::Reason;
use godwitstep_wire::{
    Announce, Error, Frame, Heartbeat, Load, MAX_BODY_BYTES, MAX_FRAME_BYTES, Outcome, Part,
    Records, Reply, Request, RequestId, Rules,
};
use proptest::prelude::*;
use std::time::Duration;

fn id() -> RequestId {
    RequestId {
        incarnation: 1_764_817_200_000_000,
        sequence: 3,
    }
}

fn samples() -> Vec<Frame> {
    let part = Part {
        epoch: 4,
        job: "nest-1".into(),
        attempt: 2,
        tasks: 4,
        accelerators: 8,
        run: Some(Duration::from_secs(60)),
    };
    vec![
        Frame::Goodbye,
        Frame::Cancel { id: id() },
        Frame::Announce(Announce {
            target: None,
            worker: None,
            inventory: Vec::new(),
            leaving: true,
            epoch: 4,
        }),
        Frame::Heartbeat(Heartbeat {
            sequence: 9,
            load: Some(Load {
                busy: 2,
                from_receiver: 1,
            }),
            busy_accelerators: Some(3),
            rules: Some(Rules {
                operating_mode: OperatingMode::Degraded,
                version: 12,
                out_of_service: vec!["dk-vest-a".into()],
                epoch: 4,
                deciding: true,
            }),
            targets: Vec::new(),
        }),
        Frame::Request(Request {
            id: id(),
            service: "stitchwatch".into(),
            key: "council/1".into(),
            idempotent: false,
            age: Duration::from_millis(1),
            left: Duration::from_secs(2),
            body: Bytes::from_static(b"body"),
        }),
        Frame::Reply(Reply {
            id: id(),
            outcome: Outcome::NotStarted {
                reason: Reason::DomainOut {
                    domain: "dk-vest-a".into(),
                },
            },
            served: Duration::ZERO,
        }),
        Frame::Denied {
            part,
            reason: Reason::WaitingForCapacity { needed: 4, free: 1 },
        },
        Frame::Records(Records {
            stream: "config".into(),
            tail: 4,
            age: Duration::ZERO,
            next: 4,
            records: vec![(3, "{}".into())],
        }),
    ]
}

/// Guards against a frame that is decoded as a different one.
#[test]
fn frames_are_unchanged_by_a_round_trip() {
    for frame in samples() {
        assert_eq!(Frame::decode(&frame.encode()).expect("decodes"), frame);
    }
}

/// Guards against accepting frames that are truncated, oversized or followed by further bytes.
#[test]
fn truncated_extended_and_oversized_frames_are_refused() {
    for frame in samples() {
        let bytes = frame.encode();
        for end in 0..bytes.len() {
            assert!(Frame::decode(&bytes[..end]).is_err(), "truncated at {end}");
        }
        let mut extended = bytes.to_vec();
        extended.push(0);
        assert!(matches!(Frame::decode(&extended), Err(Error::Trailing(1))));
    }
    let oversized = vec![0; MAX_FRAME_BYTES + 1];
    assert!(matches!(
        Frame::decode(&oversized),
        Err(Error::TooLarge { .. })
    ));
}

/// Guards against a frame limit that has no space for the other fields of a frame with the largest
/// body.
#[test]
fn largest_body_fits() {
    let frame = Frame::Reply(Reply {
        id: id(),
        outcome: Outcome::Answered {
            body: vec![7; MAX_BODY_BYTES].into(),
        },
        served: Duration::from_secs(1),
    });
    assert_eq!(Frame::decode(&frame.encode()).expect("decodes"), frame);
}

/// Guards against accepting arrays of the compact types with too few or too many elements.
#[test]
fn compact_arrays_have_exact_lengths() {
    let decode_cancel = |array: &[u8]| {
        let mut bytes = vec![0xa1, 0x66];
        bytes.extend_from_slice(b"cancel");
        bytes.extend_from_slice(&[0xa1, 0x62]);
        bytes.extend_from_slice(b"id");
        bytes.extend_from_slice(array);
        Frame::decode(&bytes)
    };
    assert!(decode_cancel(&[0x82, 1, 2]).is_ok());
    assert!(decode_cancel(&[0x81, 1]).is_err());
    assert!(decode_cancel(&[0x83, 1, 2, 3]).is_err());
    assert!(decode_cancel(&[0x9f, 1, 2, 3, 0xff]).is_err());
}

proptest! {
    /// Guards against a panic on bytes that are not a frame.
    #[test]
    fn random_bytes_do_not_cause_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        let _ = Frame::decode(&bytes);
    }

    /// Guards against a panic on frames with modified bytes, and against accepting one that does
    /// not round-trip.
    #[test]
    fn mutated_frames_do_not_cause_a_panic(
        sample in 0..samples().len(),
        edits in proptest::collection::vec((any::<proptest::sample::Index>(), any::<u8>()), 1..6),
    ) {
        let mut bytes = samples()[sample].encode().to_vec();
        for (index, value) in edits {
            let index = index.index(bytes.len());
            bytes[index] = value;
        }
        if let Ok(frame) = Frame::decode(&bytes) {
            prop_assert_eq!(Frame::decode(&frame.encode()).expect("decodes"), frame);
        }
    }
}
