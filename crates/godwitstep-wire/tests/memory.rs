//! Memory that a hostile frame makes the decoder reserve.
//!
//! The only test of its file, so that nothing else in the process changes the figures.

use godwitstep_wire::Frame;

/// Greatest growth of the address space. Unit: KiB.
const LIMIT: u64 = 64 * 1024;

/// Returns the greatest size that the address space has had, where the system tells. Unit: KiB.
fn peak() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmPeak:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

fn frame(variant: &str, rest: &[u8]) -> Vec<u8> {
    let mut bytes = vec![0xa1, 0x60 | u8::try_from(variant.len()).expect("short")];
    bytes.extend_from_slice(variant.as_bytes());
    bytes.extend_from_slice(rest);
    bytes
}

/// Guards against a header that announces 2^40 elements or bytes and gets them reserved, on its
/// own and nested in the buffers of internally tagged enums.
#[test]
fn announced_lengths_are_not_reserved() {
    let Some(before) = peak() else { return };
    let length = [0, 0, 1, 0, 0, 0, 0, 0];
    for header in [0x5b, 0x7b, 0x9b, 0xbb_u8] {
        let mut bytes = vec![header];
        bytes.extend_from_slice(&length);
        assert!(Frame::decode(&bytes).is_err());
        for variant in ["announce", "heartbeat", "records", "denied", "reply"] {
            assert!(Frame::decode(&frame(variant, &bytes)).is_err());
        }
    }
    let mut deep = vec![0xa1, 0x66];
    deep.extend_from_slice(b"reason");
    deep.extend_from_slice(&[0xa1, 0x61, b'x']);
    for _ in 0..250 {
        deep.push(0x9b);
        deep.extend_from_slice(&length);
    }
    assert!(Frame::decode(&frame("denied", &deep)).is_err());
    let grown = peak().expect("read before") - before;
    assert!(grown <= LIMIT, "address space grew by {grown} KiB");
}
