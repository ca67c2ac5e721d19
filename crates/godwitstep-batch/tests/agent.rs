//! Tests of an agent whose messages to and from the decider and the worker are lost, delayed or refused.

use godwitstep_batch::agent::{
    Agent, Answer, Call, Contact, Operation, Registration, RunLists, START_TTL,
};
use godwitstep_batch::bounds::{AGENT_LEASE, Bounds, START_ORDER_TTL};
use godwitstep_batch::demand::Demand;
use godwitstep_batch::id::{Epoch, Incarnation, Run, Task};
use godwitstep_batch::message::{
    Directive, EndReason, Ended, Reachability, Refusal, Running, Start, WorkerInfo,
};
use std::net::SocketAddr;
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

fn incarnation(started_ms: u64) -> Incarnation {
    Incarnation {
        host: "host-1".into(),
        worker: "worker-1".into(),
        started_ms,
    }
}

fn registration(started_ms: u64, sequence: u64) -> Registration {
    let info = WorkerInfo {
        incarnation: incarnation(started_ms),
        pool: "floor".into(),
        domain: "domain-1".into(),
        capacity: Demand::default(),
        labels: Vec::new(),
        rack: None,
        draining: false,
    };
    Registration { info, sequence }
}

/// Returns an agent whose worker has registered and was polled at time zero.
fn agent() -> Agent {
    let mut agent = Agent::new(Duration::ZERO, "host-1".into(), 1, Bounds::default());
    deliver(&mut agent, Duration::ZERO, Directive::default());
    start_worker(&mut agent, Duration::ZERO, 1);
    poll(&mut agent, Duration::ZERO, lists(&[], &[]));
    agent
}

fn register(agent: &mut Agent, now: Duration, registration: Registration) {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    agent.register(now, registration, address);
}

/// Registers an incarnation of the worker, which answers the probe that follows.
fn start_worker(agent: &mut Agent, now: Duration, started_ms: u64) {
    register(agent, now, registration(started_ms, 1));
    let probe = agent.due_probe(now).expect("a probe is due");
    let answer = RunLists {
        started_ms: Some(started_ms),
        ..lists(&[], &[])
    };
    agent.probe_answered(now, now, &probe, Contact::Lists(answer));
    assert_eq!(agent.incarnation(), Some(&incarnation(started_ms)));
}

/// Sends a report and delivers the decider's reply at the same time.
fn deliver(agent: &mut Agent, now: Duration, directive: Directive) -> bool {
    let report = agent.report(now, false);
    agent.apply_directive(
        now,
        Directive {
            epoch: EPOCH,
            sequence: report.sequence,
            incarnation: report.worker.map(|worker| worker.info.incarnation),
            ..directive
        },
    )
}

/// Returns a directive that orders the start of a run.
fn start_directive(run: Run) -> Directive {
    Directive {
        start: vec![Start {
            task: TASK,
            run,
            spec: "spec".into(),
            saved: "".into(),
        }],
        ..Directive::default()
    }
}

/// Returns a directive that orders the stop of a run.
fn stop_directive(run: Run) -> Directive {
    Directive {
        stop: vec![(TASK, run)],
        ..Directive::default()
    }
}

/// Returns the worker's answer to a poll, with the numbers of the active runs, and the number, run and reason of each
/// end.
fn lists(running: &[Run], ended: &[(u64, Run, EndReason)]) -> RunLists {
    RunLists {
        clock: 1_000,
        started_ms: None,
        truncated: false,
        running: running
            .iter()
            .map(|run| Running {
                task: TASK,
                run: *run,
                saved: "".into(),
                percent: 0,
            })
            .collect(),
        ended: ended
            .iter()
            .map(|(number, run, how)| Ended {
                number: *number,
                task: TASK,
                run: *run,
                how: *how,
                saved: "".into(),
            })
            .collect(),
        ..RunLists::default()
    }
}

/// Delivers the worker's answer to a poll that was sent at the same time.
fn poll(agent: &mut Agent, now: Duration, lists: RunLists) -> bool {
    agent.poll_answered(now, now, &incarnation(1), lists)
}

fn single_call(calls: Vec<Call>) -> Call {
    let [call] = <[Call; 1]>::try_from(calls).expect("one call is due");
    call
}

/// Returns the refusals in the agent's next report.
fn reported_refusals(agent: &mut Agent, now: Duration) -> Vec<Refusal> {
    let worker = agent.report(now, false).worker.expect("a worker is known");
    worker
        .refused
        .iter()
        .map(|refused| refused.reason)
        .collect()
}

/// Guards against a second start of a run because the decider repeats the order while the call is in flight or before
/// the worker lists the run.
#[test]
fn an_order_is_executed_once() {
    let mut agent = agent();
    deliver(&mut agent, millis(10), start_directive(1));
    let call = single_call(agent.due_calls(millis(10)));
    assert!(matches!(call.operation, Operation::Start(_)));
    assert!(
        agent.due_calls(millis(11)).is_empty(),
        "the call is in flight"
    );
    agent.call_answered(millis(12), &call, Answer::Accepted);
    deliver(&mut agent, millis(13), start_directive(1));
    assert!(agent.due_calls(millis(13)).is_empty(), "the run has begun");
    let running = agent.report(millis(14), false).worker.unwrap().running;
    assert_eq!(running.len(), 1);
}

/// Guards against a start that is reported as refused while an earlier call of it may still be executed.
#[test]
fn a_refusal_after_a_lost_answer_is_confirmed_by_a_stop() {
    // Late enough that no call of an earlier process of the agent matters.
    let mut agent = agent();
    deliver(&mut agent, millis(10_010), start_directive(1));
    let call = single_call(agent.due_calls(millis(10_010)));
    agent.call_answered(millis(10_500), &call, Answer::Unanswered);
    deliver(&mut agent, millis(10_600), start_directive(1));
    let retry = single_call(agent.due_calls(millis(10_600)));
    agent.call_answered(millis(10_610), &retry, Answer::Unhealthy);
    assert_eq!(reported_refusals(&mut agent, millis(10_610)), []);
    let stop = single_call(agent.due_calls(millis(10_620)));
    assert!(matches!(stop.operation, Operation::Stop(_)));
    agent.call_answered(millis(10_630), &stop, Answer::Accepted);
    assert_eq!(reported_refusals(&mut agent, millis(10_630)), []);
    poll(&mut agent, millis(10_640), lists(&[], &[]));
    assert_eq!(
        reported_refusals(&mut agent, millis(10_640)),
        [Refusal::Unhealthy]
    );
}

/// Guards against a poll sent before the answer to a stop, which can't show the effect of that stop.
#[test]
fn a_poll_sent_before_the_stop_was_answered_settles_nothing() {
    let mut agent = agent();
    deliver(&mut agent, millis(10), stop_directive(1));
    let stop = single_call(agent.due_calls(millis(10)));
    agent.call_answered(millis(20), &stop, Answer::Accepted);
    agent.poll_answered(millis(25), millis(15), &incarnation(1), lists(&[], &[]));
    assert_eq!(reported_refusals(&mut agent, millis(25)), []);
    agent.poll_answered(millis(35), millis(30), &incarnation(1), lists(&[], &[]));
    assert_eq!(
        reported_refusals(&mut agent, millis(35)),
        [Refusal::Withdrawn]
    );
}

/// Guards against a restarted agent that reports a completed run as one that never began.
#[test]
fn a_superseded_start_is_settled_by_its_listed_end() {
    let mut agent = agent();
    deliver(&mut agent, millis(10), start_directive(1));
    let call = single_call(agent.due_calls(millis(10)));
    agent.call_answered(millis(12), &call, Answer::Superseded);
    assert_eq!(reported_refusals(&mut agent, millis(12)), []);
    poll(
        &mut agent,
        millis(20),
        lists(&[], &[(1, 1, EndReason::Done)]),
    );
    let worker = agent.report(millis(20), false).worker.unwrap();
    assert_eq!(worker.refused, []);
    assert_eq!(worker.ended.len(), 1);
}

/// Guards against a start long after the decider checked that it was allowed.
#[test]
fn an_expired_order_is_not_executed() {
    let mut agent = agent();
    let report = agent.report(millis(100), true);
    let directive = Directive {
        epoch: EPOCH,
        sequence: report.sequence,
        incarnation: Some(incarnation(1)),
        ..start_directive(1)
    };
    let late = millis(100) + START_ORDER_TTL;
    agent.apply_directive(late, directive);
    assert!(agent.due_calls(late).is_empty());
}

/// Guards against orders of a replaced decider.
#[test]
fn orders_of_an_earlier_epoch_are_ignored() {
    let mut agent = agent();
    let report = agent.report(millis(10), false);
    let directive = Directive {
        epoch: EPOCH - 1,
        sequence: report.sequence,
        incarnation: Some(incarnation(1)),
        ..start_directive(1)
    };
    assert!(!agent.apply_directive(millis(10), directive));
    assert!(agent.due_calls(millis(10)).is_empty());
}

/// Guards against new runs on a worker that is shutting down.
#[test]
fn nothing_starts_on_a_draining_worker() {
    let mut agent = agent();
    deliver(&mut agent, millis(10), start_directive(1));
    let mut draining = registration(1, 2);
    draining.info.draining = true;
    register(&mut agent, millis(15), draining);
    assert!(agent.due_calls(millis(20)).is_empty());
    register(&mut agent, millis(25), registration(1, 3));
    deliver(&mut agent, millis(30), start_directive(2));
    assert!(
        agent.due_calls(millis(30)).is_empty(),
        "draining never ends"
    );
}

/// Guards against runs that stay active after the decider has counted their lease as expired.
#[test]
fn the_lease_is_renewed_only_while_a_decider_answers() {
    let mut agent = agent();
    let before = agent
        .lease_request(AGENT_LEASE.saturating_sub(millis(1)))
        .unwrap();
    assert!(before.deadline.is_some());
    let after = agent.lease_request(AGENT_LEASE).unwrap();
    assert!(after.deadline.is_none());
}

/// Guards against an agent that is restarted during a network partition and renews a lease that the decider
/// counts as expired.
#[test]
fn a_new_agent_renews_no_lease_before_a_decider_has_answered() {
    let mut agent = Agent::new(Duration::ZERO, "host-1".into(), 1, Bounds::default());
    register(&mut agent, Duration::ZERO, registration(1, 1));
    assert!(agent.lease_request(Duration::ZERO).is_none());
    assert!(agent.due_probe(Duration::ZERO).is_none());
}

/// Guards against a lease that counts as expired too early if the worker's clock is slow, or later than needed.
#[test]
fn an_unreachable_worker_counts_as_empty_once_its_lease_has_expired() {
    let mut agent = agent();
    assert!(agent.lease_request(millis(10)).unwrap().deadline.is_some());
    agent.poll_failed(millis(20), &incarnation(1), &Contact::Unanswered);
    agent.poll_failed(millis(30), &incarnation(1), &Contact::Unanswered);
    let reachability =
        |agent: &mut Agent, now| agent.report(now, false).worker.unwrap().reachability;
    let lease = Bounds::default().max_lease;
    assert_eq!(reachability(&mut agent, lease), Reachability::Unreachable);
    assert_eq!(
        reachability(&mut agent, lease + millis(100)),
        Reachability::Unreachable
    );
    assert_eq!(
        reachability(&mut agent, lease + millis(500)),
        Reachability::LeaseExpired
    );
}

/// Guards against runs that stay placed for good on a crashed worker whose lease its agent goes on renewing.
#[test]
fn the_lease_of_a_worker_that_does_not_answer_expires_while_a_decider_answers() {
    let mut agent = agent();
    let mut now = millis(0);
    let end = Bounds::default().max_lease + millis(1_500);
    while now < end {
        now += millis(200);
        deliver(&mut agent, now, Directive::default());
        assert!(agent.lease_request(now).is_some());
        agent.poll_failed(now, &incarnation(1), &Contact::Unanswered);
    }
    let worker = agent.report(now, false).worker.unwrap();
    assert_eq!(worker.reachability, Reachability::LeaseExpired);
    poll(&mut agent, now, lists(&[], &[]));
    assert!(agent.lease_request(now).unwrap().deadline.is_some());
}

/// Guards against runs that stay placed for good on a crashed worker whose lease repeated starts extend.
#[test]
fn repeated_starts_on_a_worker_that_does_not_answer_do_not_extend_its_lease() {
    let mut agent = agent();
    let mut now = millis(0);
    let end = Bounds::default().max_lease + millis(3_000);
    while now < end {
        now += millis(200);
        deliver(&mut agent, now, start_directive(1));
        for call in agent.due_calls(now) {
            agent.call_answered(now, &call, Answer::Unanswered);
        }
        agent.poll_failed(now, &incarnation(1), &Contact::Unanswered);
    }
    let worker = agent.report(now, false).worker.unwrap();
    assert_eq!(worker.reachability, Reachability::LeaseExpired);
}

/// Guards against answers to calls to an earlier incarnation that are applied to the current one.
#[test]
fn answers_of_an_earlier_incarnation_are_ignored() {
    let mut agent = agent();
    deliver(&mut agent, millis(10), start_directive(1));
    let call = single_call(agent.due_calls(millis(10)));
    start_worker(&mut agent, millis(60), 2);
    assert!(!agent.call_answered(millis(70), &call, Answer::Accepted));
    let worker = agent.report(millis(70), false).worker.unwrap();
    assert_eq!(worker.running, []);
}

/// Guards against ends that are acknowledged to the worker although the decider has not recorded them.
#[test]
fn the_acknowledgement_cursor_follows_the_decider_and_never_decreases() {
    let mut agent = agent();
    poll(
        &mut agent,
        millis(10),
        lists(&[], &[(1, 1, EndReason::Done)]),
    );
    assert!(agent.has_unrecorded_ends());
    assert_eq!(agent.lease_request(millis(20)).unwrap().recorded, 0);
    let recorded = |recorded| Directive {
        recorded,
        ..Directive::default()
    };
    deliver(&mut agent, millis(30), recorded(1));
    assert_eq!(agent.lease_request(millis(40)).unwrap().recorded, 1);
    deliver(&mut agent, millis(50), recorded(0));
    assert_eq!(agent.lease_request(millis(60)).unwrap().recorded, 1);
}

/// Guards against the stop of a run that counts as a renewal of a silent worker's lease.
#[test]
fn a_stop_does_not_extend_the_lease() {
    let mut agent = agent();
    deliver(&mut agent, millis(10), stop_directive(1));
    let mut now = millis(10);
    while now < Bounds::default().max_lease + Duration::from_secs(1) {
        now += millis(100);
        for stop in agent.due_calls(now) {
            agent.call_answered(now, &stop, Answer::Unanswered);
        }
        agent.poll_failed(now, &incarnation(1), &Contact::Unanswered);
    }
    let worker = agent.report(now, false).worker.unwrap();
    assert_eq!(worker.reachability, Reachability::LeaseExpired);
}

/// Guards against a second run beside one under the lease that the agent's former process requested.
#[test]
fn the_lease_that_an_earlier_process_of_the_agent_requested_counts() {
    let mut agent = agent();
    agent.poll_failed(millis(20), &incarnation(1), &Contact::Unanswered);
    agent.poll_failed(millis(30), &incarnation(1), &Contact::Unanswered);
    let reachability =
        |agent: &mut Agent, now| agent.report(now, false).worker.unwrap().reachability;
    let lease = Bounds::default().max_lease;
    assert_eq!(reachability(&mut agent, lease), Reachability::Unreachable);
    let later = lease + Duration::from_secs(2);
    assert_eq!(reachability(&mut agent, later), Reachability::LeaseExpired);
}

/// Guards against a second run beside one that the agent's former process started late.
#[test]
fn a_refusal_soon_after_the_agent_has_started_is_confirmed_by_a_stop() {
    for answer in [Answer::Unhealthy, Answer::Room, Answer::Malformed] {
        let mut agent = agent();
        deliver(&mut agent, millis(10), start_directive(1));
        let call = single_call(agent.due_calls(millis(10)));
        agent.call_answered(millis(20), &call, answer);
        assert_eq!(reported_refusals(&mut agent, millis(20)), []);
        let stop = single_call(agent.due_calls(millis(20)));
        assert!(matches!(stop.operation, Operation::Stop(_)));
        agent.call_answered(millis(30), &stop, Answer::Accepted);
        poll(&mut agent, millis(40), lists(&[], &[]));
        assert_eq!(reported_refusals(&mut agent, millis(40)).len(), 1);
    }
}

/// Guards against a refused task that waits longer than needed for another worker.
#[test]
fn a_refusal_is_reported_at_once_after_every_earlier_start_has_expired() {
    let mut agent = agent();
    let now = START_TTL + Duration::from_secs(2);
    deliver(&mut agent, now, start_directive(1));
    let call = single_call(agent.due_calls(now));
    agent.call_answered(now, &call, Answer::Unhealthy);
    assert_eq!(reported_refusals(&mut agent, now), [Refusal::Unhealthy]);
}

/// Guards against a run that counts as never begun, because the worker lists only its oldest ends at a time.
#[test]
fn an_end_that_is_not_listed_yet_settles_nothing() {
    let mut agent = agent();
    deliver(&mut agent, millis(10), stop_directive(1));
    let stop = single_call(agent.due_calls(millis(10)));
    agent.call_answered(millis(20), &stop, Answer::Accepted);
    let ended: Vec<_> = (1..=500)
        .map(|number| (number, 1_000, EndReason::Done))
        .collect();
    let first_ends = RunLists {
        truncated: true,
        ..lists(&[], &ended)
    };
    poll(&mut agent, millis(30), first_ends);
    assert_eq!(reported_refusals(&mut agent, millis(30)), []);
    poll(
        &mut agent,
        millis(40),
        lists(&[], &[(501, 1, EndReason::Done)]),
    );
    assert_eq!(reported_refusals(&mut agent, millis(40)), []);
}

/// Guards against a worker with too many runs: a run that was accepted and is being stopped is in no list of the worker yet,
/// and its room counted as free because the report left it out.
#[test]
fn a_run_that_is_stopped_before_the_worker_lists_it_is_reported_until_its_end_shows() {
    let mut agent = agent();
    deliver(&mut agent, millis(10), start_directive(1));
    let start = single_call(agent.due_calls(millis(10)));
    agent.call_answered(millis(12), &start, Answer::Accepted);
    deliver(&mut agent, millis(13), stop_directive(1));
    let stop = single_call(agent.due_calls(millis(13)));
    agent.call_answered(millis(15), &stop, Answer::Accepted);
    let runs = |agent: &mut Agent, now| {
        let worker = agent.report(now, false).worker.unwrap();
        let runs = worker.running.iter().map(|run| run.run);
        runs.collect::<Vec<_>>()
    };
    assert_eq!(runs(&mut agent, millis(16)), [1]);
    // This poll was sent before the stop was answered.
    agent.poll_answered(millis(17), millis(14), &incarnation(1), lists(&[], &[]));
    assert_eq!(runs(&mut agent, millis(17)), [1]);
    poll(&mut agent, millis(20), lists(&[1], &[]));
    assert_eq!(runs(&mut agent, millis(20)), [1], "it is listed once");
    poll(
        &mut agent,
        millis(30),
        lists(&[], &[(1, 1, EndReason::Stopped)]),
    );
    assert!(runs(&mut agent, millis(30)).is_empty());
}
