//! Tests of the numbers that tell processes and their starts apart.

use godwitstep::incarnation::incarnation;
use std::collections::BTreeSet;
use std::time::{Duration, SystemTime};

/// Guards against requests of two entries that an agent takes for the same, because both started in the same microsecond.
#[test]
fn processes_that_start_at_the_same_time_have_different_incarnations() {
    let now = SystemTime::UNIX_EPOCH + Duration::from_micros(1_796_440_634_471_524);
    let names = [
        "entry-0", "entry-1", "entry-2", "agent-0", "agent-1", "agent-2",
    ];
    let incarnations: BTreeSet<u64> = names.iter().map(|name| incarnation(name, now)).collect();
    assert_eq!(incarnations.len(), names.len());
}

/// Guards against a restarted process that its peers reject as outdated.
#[test]
fn a_restarted_process_has_a_greater_incarnation() {
    let mut start = SystemTime::UNIX_EPOCH + Duration::from_secs(1_796_440_634);
    for _ in 0..2_000 {
        let next = start + Duration::from_micros(1_100);
        assert!(incarnation("entry-0", start) < incarnation("entry-0", next));
        start = next;
    }
}
