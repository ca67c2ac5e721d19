//! Tests of the routing and authorization of callers' requests.

use godwitstep_batch::access::{self, Refusal, View};
use godwitstep_batch::bounds::Bounds;
use godwitstep_batch::policy::{Policy, Queue, Workspace};
use std::time::Duration;

fn policy() -> Policy {
    let queue = |name: &str, prefix: &str, open| Queue {
        name: name.into(),
        host: "jobs.example".into(),
        prefix: prefix.into(),
        open,
        ..Queue::default()
    };
    Policy {
        version: 3,
        queues: vec![
            queue("all", "/", false),
            queue("nest", "/nest/", false),
            queue("open", "/open/", true),
        ],
        workspaces: vec![Workspace {
            name: "north".into(),
            keys: vec!["key-1".into()],
            guaranteed: 0,
        }],
        ..Policy::default()
    }
}

fn check(age: Duration, path: &str, key: Option<&str>) -> Result<String, Refusal> {
    let policy = policy();
    let view = View {
        policy: Some(&policy),
        policy_age: age,
        jobs_age: Duration::ZERO,
    };
    access::authorize(&view, &Bounds::default(), "jobs.example", path, key)
        .map(|grant| grant.queue.name.to_string())
}

#[test]
fn the_longest_matching_prefix_selects_the_queue() {
    let key = Some("key-1");
    assert_eq!(check(Duration::ZERO, "/nest/7", key).unwrap(), "nest");
    assert_eq!(check(Duration::ZERO, "/nes", key).unwrap(), "all");
}

#[test]
fn only_open_queues_need_no_key() {
    assert_eq!(check(Duration::ZERO, "/nest/7", None), Err(Refusal::NoKey));
    let unknown = check(Duration::ZERO, "/nest/7", Some("key-2"));
    assert_eq!(unknown, Err(Refusal::NoKey));
    assert_eq!(check(Duration::ZERO, "/open/7", None).unwrap(), "open");
}

/// Guards against an entry that is disconnected from the log and keeps accepting a key that was revoked since.
#[test]
fn an_outdated_policy_authorizes_no_request() {
    let bounds = Bounds::default();
    let key = Some("key-1");
    assert!(check(bounds.max_policy_age(), "/nest/7", key).is_ok());
    let late = check(bounds.revoke, "/nest/7", key);
    assert_eq!(late, Err(Refusal::Stale));
}
