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

/// Returns the queue to which a request is routed, with a policy of this age.
fn authorized_queue(age: Duration, path: &str, key: Option<&str>) -> Result<String, Refusal> {
    let policy = policy();
    let view = View {
        policy: Some(&policy),
        policy_age: age,
        jobs_age: Duration::ZERO,
    };
    access::authorize(&view, &Bounds::default(), "jobs.example", path, key)
        .map(|grant| grant.queue.name.to_string())
}

/// Guards against a request that reaches the queue of a shorter prefix, or one whose prefix it does not start with.
#[test]
fn the_longest_matching_prefix_selects_the_queue() {
    let key = Some("key-1");
    assert_eq!(
        authorized_queue(Duration::ZERO, "/nest/7", key).unwrap(),
        "nest"
    );
    assert_eq!(
        authorized_queue(Duration::ZERO, "/nes", key).unwrap(),
        "all"
    );
}

/// Guards against callers without a valid key on queues that require one.
#[test]
fn only_open_queues_need_no_key() {
    assert_eq!(
        authorized_queue(Duration::ZERO, "/nest/7", None),
        Err(Refusal::NoKey)
    );
    let unknown = authorized_queue(Duration::ZERO, "/nest/7", Some("key-2"));
    assert_eq!(unknown, Err(Refusal::NoKey));
    assert_eq!(
        authorized_queue(Duration::ZERO, "/open/7", None).unwrap(),
        "open"
    );
}

/// Guards against an entry that is disconnected from the log and keeps accepting a key that was revoked since.
#[test]
fn an_outdated_policy_authorizes_no_request() {
    let bounds = Bounds::default();
    let key = Some("key-1");
    assert!(authorized_queue(bounds.max_policy_age(), "/nest/7", key).is_ok());
    let late = authorized_queue(bounds.max_revocation_delay, "/nest/7", key);
    assert_eq!(late, Err(Refusal::Stale));
}
