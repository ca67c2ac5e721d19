//! Memory that the decoder reserves for a malicious frame.
//!
//! This is the only test of the file, so that no other test in the process changes the measured
//! size.

use godwitstep_wire::Frame;

/// Maximum growth of the address space. Unit: KiB.
const MAX_GROWTH_KIB: u64 = 64 * 1024;

/// Returns the peak size of the address space, or `None` if the system does not report it. Unit:
/// KiB.
fn peak_address_space() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmPeak:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Returns the encoding of a frame variant with the given encoded content.
fn frame(variant: &str, content: &[u8]) -> Vec<u8> {
    let mut bytes = vec![0xa1, 0x60 | u8::try_from(variant.len()).expect("short")];
    bytes.extend_from_slice(variant.as_bytes());
    bytes.extend_from_slice(content);
    bytes
}

/// Guards against reserving the 2^40 elements or bytes that a header declares, on its own and
/// nested in the buffers of internally tagged enums.
#[test]
fn declared_lengths_are_not_reserved() {
    let Some(before) = peak_address_space() else {
        return;
    };
    let length = [0, 0, 1, 0, 0, 0, 0, 0];
    for header in [0x5b, 0x7b, 0x9b, 0xbb_u8] {
        let mut bytes = vec![header];
        bytes.extend_from_slice(&length);
        assert!(Frame::decode(&bytes).is_err());
        for variant in ["announce", "heartbeat", "records", "denied", "reply"] {
            assert!(Frame::decode(&frame(variant, &bytes)).is_err());
        }
    }
    let mut nested = vec![0xa1, 0x66];
    nested.extend_from_slice(b"reason");
    nested.extend_from_slice(&[0xa1, 0x61, b'x']);
    for _ in 0..250 {
        nested.push(0x9b);
        nested.extend_from_slice(&length);
    }
    assert!(Frame::decode(&frame("denied", &nested)).is_err());
    let growth = peak_address_space().expect("was available before") - before;
    assert!(
        growth <= MAX_GROWTH_KIB,
        "address space grew by {growth} KiB"
    );
}
