//! Tests of an agent whose worker is replaced, or seems to be because of a message of another writer.

use godwitstep_batch::agent::{Agent, Registration, RunLists};
use godwitstep_batch::bounds::Bounds;
use godwitstep_batch::demand::Demand;
use godwitstep_batch::id::{Epoch, Incarnation, Task};
use godwitstep_batch::message::{Directive, Running, WorkerInfo};
use std::time::Duration;

const EPOCH: Epoch = 1 << 20;
const TASK: Task = Task {
    job: 7,
    step: 0,
    index: 0,
};

const fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn incarnation(worker: &str, started_ms: u64) -> Incarnation {
    Incarnation {
        host: "host-1".into(),
        worker: worker.into(),
        started_ms,
    }
}

fn registration(worker: &str, started_ms: u64, sequence: u64) -> Registration {
    let info = WorkerInfo {
        incarnation: incarnation(worker, started_ms),
        pool: "floor".into(),
        domain: "domain-1".into(),
        capacity: Demand::default(),
        labels: Vec::new(),
        rack: None,
        draining: false,
    };
    Registration { info, sequence }
}

/// Returns a worker's answer to a poll, with one active run.
fn lists() -> RunLists {
    let running = vec![Running {
        task: TASK,
        run: 1,
        saved: "".into(),
        percent: 0,
    }];
    RunLists {
        clock: 1_000,
        running,
        ..RunLists::default()
    }
}

/// Delivers a decider's reply to a report at the same time.
fn deliver(agent: &mut Agent, now: Duration) {
    let report = agent.report(now, false);
    let directive = Directive {
        epoch: EPOCH,
        sequence: report.sequence,
        incarnation: report.worker.map(|worker| worker.info.incarnation),
        ..Directive::default()
    };
    agent.apply_directive(now, directive);
}

/// Returns an agent whose worker `worker-1`, started at 50, answered a poll with one active run at time zero.
fn agent() -> Agent {
    let mut agent = Agent::new("host-1".into(), 1, Bounds::default());
    agent.register(registration("worker-1", 50, 1));
    deliver(&mut agent, Duration::ZERO);
    agent.poll_answered(
        Duration::ZERO,
        Duration::ZERO,
        &incarnation("worker-1", 50),
        lists(),
    );
    agent
}

/// Guards against a live worker that is neither polled nor stopped any more, while its runs start elsewhere, because
/// another writer registered another worker for its host.
#[test]
fn a_registration_does_not_replace_a_worker_that_answers() {
    let mut agent = agent();
    agent.register(registration("worker-2", u64::MAX, 1));
    agent.register(registration("worker-1", u64::MAX, 1));
    let current = incarnation("worker-1", 50);
    let request = agent.lease_request(millis(10)).expect("a worker is known");
    assert_eq!(request.incarnation, current);
    let worker = agent.report(millis(10), false).worker.unwrap();
    assert_eq!(
        (worker.info.incarnation, worker.running.len()),
        (current, 1)
    );
}

/// Guards against a worker that is ignored for good because the time of day was set back before it restarted.
#[test]
fn a_worker_that_restarts_with_an_earlier_start_is_accepted() {
    let mut agent = agent();
    agent.register(registration("worker-2", 40, 1));
    assert_eq!(agent.incarnation(), Some(&incarnation("worker-2", 40)));
}
