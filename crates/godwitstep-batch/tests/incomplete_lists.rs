//! Tests of an agent whose worker lists rows that can't be read, or can't read a call.

use godwitstep_batch::agent::{Agent, Answer, Contact, Registration, RunLists};
use godwitstep_batch::bounds::Bounds;
use godwitstep_batch::demand::Demand;
use godwitstep_batch::id::{Incarnation, Task};
use godwitstep_batch::message::{Directive, EndReason, Ended, Refusal, Start, WorkerInfo};
use std::net::SocketAddr;
use std::time::Duration;

const TASK: Task = Task {
    job: 7,
    step: 0,
    index: 0,
};

const fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn incarnation() -> Incarnation {
    Incarnation {
        host: "host-1".into(),
        worker: "worker-1".into(),
        started_ms: 1,
    }
}

/// Returns an agent whose worker has registered and was polled at time zero.
fn agent() -> Agent {
    let mut agent = Agent::new(Duration::ZERO, "host-1".into(), 1, Bounds::default());
    let info = WorkerInfo {
        incarnation: incarnation(),
        pool: "floor".into(),
        domain: "domain-1".into(),
        capacity: Demand::default(),
        labels: Vec::new(),
        rack: None,
        draining: false,
    };
    deliver(&mut agent, Duration::ZERO, Directive::default());
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    agent.register(Duration::ZERO, Registration { info, sequence: 1 }, address);
    let probe = agent.due_probe(Duration::ZERO).expect("a probe is due");
    let contact = Contact::Lists(RunLists::default());
    agent.probe_answered(Duration::ZERO, Duration::ZERO, &probe, contact);
    poll(&mut agent, Duration::ZERO, RunLists::default());
    agent
}

/// Sends a report and delivers the decider's reply at the same time.
fn deliver(agent: &mut Agent, now: Duration, directive: Directive) {
    let report = agent.report(now, false);
    let directive = Directive {
        epoch: 1 << 20,
        sequence: report.sequence,
        incarnation: Some(incarnation()),
        ..directive
    };
    assert!(agent.apply_directive(now, directive));
}

/// Delivers the worker's answer to a poll that was sent at the same time.
fn poll(agent: &mut Agent, now: Duration, lists: RunLists) {
    agent.poll_answered(now, now, &incarnation(), lists);
}

/// Executes the calls that are due, all with this answer.
fn answer_calls(agent: &mut Agent, now: Duration, answer: Answer) {
    for call in agent.due_calls(now) {
        agent.call_answered(now, &call, answer);
    }
}

/// Returns an agent whose worker has accepted a start and then, at 20 ms, a stop of a run that it has not listed yet.
fn agent_with_stopped_run() -> Agent {
    agent_with_stop(Answer::Accepted, Answer::Accepted)
}

/// Returns an agent whose worker has answered the start of a run, and its stop at 20 ms.
fn agent_with_stop(to_start: Answer, to_stop: Answer) -> Agent {
    let mut agent = agent();
    let start = Start {
        task: TASK,
        run: 1,
        spec: "".into(),
        saved: "".into(),
    };
    let directive = Directive {
        start: vec![start],
        ..Directive::default()
    };
    deliver(&mut agent, millis(10), directive);
    answer_calls(&mut agent, millis(10), to_start);
    let directive = Directive {
        stop: vec![(TASK, 1)],
        ..Directive::default()
    };
    deliver(&mut agent, millis(20), directive);
    answer_calls(&mut agent, millis(20), to_stop);
    agent
}

fn refusals(agent: &mut Agent, now: Duration) -> Vec<Refusal> {
    let worker = agent.report(now, false).worker.expect("a worker is known");
    let reasons = worker.refused.iter().map(|refused| refused.reason);
    reasons.collect()
}

fn incomplete() -> RunLists {
    RunLists {
        incomplete: true,
        ..RunLists::default()
    }
}

/// Guards against a run that counts as never begun while the row that can't be read may be its own.
#[test]
fn incomplete_lists_do_not_show_that_a_run_never_began() {
    let mut agent = agent_with_stopped_run();
    poll(&mut agent, millis(30), incomplete());
    assert_eq!(refusals(&mut agent, millis(30)), []);
    poll(&mut agent, millis(40), RunLists::default());
    assert_eq!(refusals(&mut agent, millis(40)), [Refusal::Withdrawn]);
}

/// Guards against a run that is waited for as long as any row can't be read.
#[test]
fn stopped_run_is_over_when_no_stop_takes_longer() {
    let mut agent = agent_with_stopped_run();
    let later = millis(21) + Bounds::default().max_stop_time * 2;
    poll(&mut agent, later, incomplete());
    assert_eq!(refusals(&mut agent, later), [Refusal::Withdrawn]);
}

/// Guards against an end that the worker forgets although it could not be read.
#[test]
fn end_that_cannot_be_read_is_not_acknowledged() {
    let end = |number| Ended {
        number,
        task: Task { index: 1, ..TASK },
        run: 1,
        how: EndReason::Done,
        saved: "".into(),
    };
    let lists = |acknowledgeable| RunLists {
        ended: vec![end(1), end(4)],
        incomplete: acknowledgeable == Some(1),
        acknowledgeable,
        ..RunLists::default()
    };
    let mut agent = agent();
    poll(&mut agent, millis(30), lists(Some(1)));
    let directive = Directive {
        recorded: 4,
        ..Directive::default()
    };
    deliver(&mut agent, millis(40), directive);
    let request = agent.lease_request(millis(50)).expect("a lease request");
    assert_eq!(request.recorded, 1);
    assert!(request.deadline.is_some(), "the lease is renewed");
    assert!(!request.wait, "the answer is not held back");
    assert!(agent.has_unrecorded_ends(), "polls are spaced out");
    poll(&mut agent, millis(60), lists(None));
    let request = agent.lease_request(millis(70)).expect("a lease request");
    assert_eq!(request.recorded, 4);
}

/// Guards against a run that counts as never begun: its stop was answered but not carried out, and its start may still be
/// executed.
#[test]
fn a_stop_that_the_worker_cannot_read_is_sent_again() {
    for answer in [Answer::Malformed, Answer::Room, Answer::Late] {
        let mut agent = agent_with_stop(Answer::Unanswered, answer);
        poll(&mut agent, millis(30), RunLists::default());
        assert_eq!(refusals(&mut agent, millis(30)), [], "{answer:?}");
        answer_calls(&mut agent, millis(500), Answer::Accepted);
        poll(&mut agent, millis(510), RunLists::default());
        assert_eq!(refusals(&mut agent, millis(510)), [Refusal::Withdrawn]);
    }
}
