//! What an agent reports as a crash of its worker, and which runs it ended.

use godwitstep_batch::agent::{Agent, Answer, Contact, Registration, RunLists, Transition};
use godwitstep_batch::bounds::Bounds;
use godwitstep_batch::demand::Demand;
use godwitstep_batch::id::{Epoch, Incarnation, Run, Task};
use godwitstep_batch::message::{Crash, CrashedRun, Directive, Running, Start, WorkerInfo};
use std::net::SocketAddr;
use std::time::Duration;

const EPOCH: Epoch = 1 << 20;
/// Time of the last answer of the worker before it is lost.
const CONTACT: Duration = Duration::from_secs(5);

const fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

const fn task(index: u16) -> Task {
    Task {
        job: 7,
        step: 0,
        index,
    }
}

fn incarnation(worker: &str) -> Incarnation {
    Incarnation {
        host: "host-1".into(),
        worker: worker.into(),
        started_ms: 50,
    }
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// Returns a worker's answer to a poll, with active runs of these tasks.
fn lists(now: Duration, running: &[u16]) -> RunLists {
    let row = |index: &u16| Running {
        task: task(*index),
        run: 1,
        saved: "".into(),
        percent: 0,
    };
    RunLists {
        clock: u64::try_from(now.as_millis()).unwrap(),
        started_ms: Some(50),
        running: running.iter().map(row).collect(),
        ..RunLists::default()
    }
}

fn register(agent: &mut Agent, now: Duration, worker: &str, draining: bool) {
    let info = WorkerInfo {
        incarnation: incarnation(worker),
        pool: "floor".into(),
        domain: "domain-1".into(),
        capacity: Demand::default(),
        labels: Vec::new(),
        rack: None,
        draining,
    };
    agent.register(now, Registration { info, sequence: 1 }, address());
}

/// Delivers a decider's reply, which orders the starts of runs of these tasks.
fn deliver(agent: &mut Agent, now: Duration, start: &[u16]) {
    let report = agent.report(now, false);
    let order = |index: &u16| Start {
        task: task(*index),
        run: 1,
        spec: "".into(),
        saved: "".into(),
    };
    let directive = Directive {
        epoch: EPOCH,
        sequence: report.sequence,
        incarnation: report.worker.map(|worker| worker.info.incarnation),
        start: start.iter().map(order).collect(),
        ..Directive::default()
    };
    agent.apply_directive(now, directive);
}

fn poll(agent: &mut Agent, now: Duration, running: &[u16]) {
    let request = agent.lease_request(now).expect("a worker is known");
    agent.poll_answered(now, now, &request.incarnation, lists(now, running));
}

fn fail_poll(agent: &mut Agent, now: Duration, contact: &Contact) {
    agent.poll_failed(now, &incarnation("worker-1"), contact);
}

/// Returns an agent whose worker has run task 0 since one second before [`CONTACT`], and answered then.
fn agent() -> Agent {
    let mut agent = Agent::new(Duration::ZERO, "host-1".into(), 1, Bounds::default());
    deliver(&mut agent, Duration::ZERO, &[]);
    register(&mut agent, Duration::ZERO, "worker-1", false);
    let probe = agent.due_probe(Duration::ZERO).expect("a probe is due");
    let contact = Contact::Lists(lists(Duration::ZERO, &[]));
    agent.probe_answered(Duration::ZERO, Duration::ZERO, &probe, contact);
    for now in [millis(4_000), CONTACT] {
        deliver(&mut agent, now, &[]);
        poll(&mut agent, now, &[0]);
    }
    agent
}

/// Lets the worker refuse all connections from a time on, after the poll in progress has broken.
fn lose(agent: &mut Agent, at: Duration) {
    fail_poll(agent, at, &Contact::Unanswered);
    fail_poll(agent, at + millis(200), &Contact::Refused);
}

/// Registers another incarnation, which answers, at the first one's address.
fn replace(agent: &mut Agent, mut now: Duration) {
    register(agent, now, "worker-2", false);
    deliver(agent, now, &[]);
    let mut probe = agent.due_probe(now).expect("a probe is due");
    if probe.request.incarnation == incarnation("worker-1") {
        agent.probe_answered(now, now, &probe, Contact::OtherLife);
        now += millis(50);
        probe = agent.due_probe(now).expect("the next probe is due");
    }
    assert_eq!(probe.request.incarnation, incarnation("worker-2"));
    let transition = agent.probe_answered(now, now, &probe, Contact::Lists(lists(now, &[])));
    assert!(
        matches!(transition, Transition::Started { .. }),
        "{transition:?}"
    );
}

fn crashes(agent: &mut Agent, now: Duration) -> Vec<Crash> {
    agent.report(now, false).crashed
}

fn crash(runs: &[(u16, Run, u64)]) -> Vec<Crash> {
    let run = |(index, run, age_ms): &(u16, Run, u64)| CrashedRun {
        task: task(*index),
        run: *run,
        age_ms: *age_ms,
    };
    let runs = runs.iter().map(run).collect();
    vec![Crash {
        incarnation: incarnation("worker-1"),
        runs,
    }]
}

/// Guards against a crash that the decider can't tell from a departure.
#[test]
fn a_crash_is_reported_with_the_runs_that_it_ended_for_30_seconds() {
    let mut agent = agent();
    deliver(&mut agent, millis(5_100), &[1, 2]);
    let calls = agent.due_calls(millis(5_100));
    assert_eq!(calls.len(), 2);
    agent.call_answered(millis(5_102), &calls[0], Answer::Accepted);
    // The call of the other start, which may have begun, breaks with the poll.
    fail_poll(&mut agent, millis(5_110), &Contact::Unanswered);
    agent.call_answered(millis(5_110), &calls[1], Answer::Unanswered);
    fail_poll(&mut agent, millis(5_310), &Contact::Refused);
    assert_eq!(
        crashes(&mut agent, millis(6_000)),
        [],
        "it may still answer"
    );
    replace(&mut agent, millis(8_200));
    let expected = crash(&[(0, 1, 1_110), (1, 1, 0), (2, 1, 0)]);
    assert_eq!(crashes(&mut agent, millis(8_200)), expected);
    assert_eq!(crashes(&mut agent, millis(38_100)), expected);
    assert_eq!(crashes(&mut agent, millis(38_300)), []);
}

/// Guards against a task that is blamed although its start was sent after the crash.
#[test]
fn a_start_after_the_crash_is_not_reported() {
    let mut agent = agent();
    fail_poll(&mut agent, millis(5_100), &Contact::Unanswered);
    deliver(&mut agent, millis(5_150), &[1]);
    let calls = agent.due_calls(millis(5_150));
    agent.call_answered(millis(5_151), &calls[0], Answer::Unanswered);
    fail_poll(&mut agent, millis(5_300), &Contact::Refused);
    replace(&mut agent, millis(8_200));
    assert_eq!(crashes(&mut agent, millis(8_200)), crash(&[(0, 1, 1_100)]));
}

/// Guards against a start that is left out because the worker was slow before it crashed.
#[test]
fn a_start_while_the_worker_is_slow_is_reported() {
    let mut agent = agent();
    fail_poll(&mut agent, millis(5_100), &Contact::Unanswered);
    deliver(&mut agent, millis(5_150), &[1]);
    let calls = agent.due_calls(millis(5_150));
    agent.call_answered(millis(5_200), &calls[0], Answer::Accepted);
    fail_poll(&mut agent, millis(5_300), &Contact::Unanswered);
    fail_poll(&mut agent, millis(5_500), &Contact::Refused);
    replace(&mut agent, millis(8_200));
    let expected = crash(&[(0, 1, 1_100), (1, 1, 0)]);
    assert_eq!(crashes(&mut agent, millis(8_200)), expected);
}

/// Guards against a crash of a worker that does not come back, which nobody reports.
#[test]
fn a_worker_that_does_not_come_back_has_crashed_when_its_lease_is_over() {
    let mut agent = agent();
    lose(&mut agent, millis(5_100));
    for now in (5_400..16_000).step_by(200).map(millis) {
        deliver(&mut agent, now, &[]);
        fail_poll(&mut agent, now, &Contact::Refused);
    }
    assert_eq!(crashes(&mut agent, millis(16_000)), crash(&[(0, 1, 1_100)]));
    replace(&mut agent, millis(17_000));
    assert_eq!(crashes(&mut agent, millis(17_000)).len(), 1);
}

/// Guards against a departure that counts as a crash: the worker drains before it ends.
#[test]
fn the_end_of_a_draining_worker_is_no_crash() {
    let mut agent = agent();
    register(&mut agent, millis(5_010), "worker-1", true);
    lose(&mut agent, millis(5_100));
    replace(&mut agent, millis(8_200));
    assert_eq!(crashes(&mut agent, millis(8_200)), []);
}

/// Guards against a departure that counts as a crash: the worker deregisters before it ends.
#[test]
fn the_end_of_a_deregistered_worker_is_no_crash() {
    let mut agent = agent();
    agent.deregister(millis(5_010), "worker-1");
    lose(&mut agent, millis(5_100));
    replace(&mut agent, millis(8_200));
    assert_eq!(crashes(&mut agent, millis(8_200)), []);
}

/// Guards against a departure or a restart behind a cut that counts as a crash: the agent did not reach the worker, or
/// was paused, until it was gone.
#[test]
fn the_end_of_a_worker_out_of_reach_is_no_crash() {
    for unanswered in [true, false] {
        let mut agent = agent();
        if unanswered {
            fail_poll(&mut agent, millis(6_200), &Contact::Unanswered);
        }
        fail_poll(&mut agent, millis(7_600), &Contact::OtherLife);
        replace(&mut agent, millis(8_200));
        assert_eq!(crashes(&mut agent, millis(8_200)), [], "{unanswered}");
    }
}

/// Guards against a crash that a new process of the agent infers: it does not know how the worker ended, as its host may
/// have lost power.
#[test]
fn a_new_process_of_the_agent_reports_no_crash() {
    let mut agent = Agent::new(Duration::ZERO, "host-1".into(), 2, Bounds::default());
    deliver(&mut agent, Duration::ZERO, &[]);
    replace(&mut agent, millis(8_200));
    assert_eq!(crashes(&mut agent, millis(8_200)), []);
}

/// Guards against an earlier refusal that counts although the worker has answered since.
#[test]
fn a_worker_that_answers_again_has_not_crashed() {
    let mut agent = agent();
    lose(&mut agent, millis(5_100));
    poll(&mut agent, millis(5_500), &[0]);
    for now in (8_000..20_000).step_by(200).map(millis) {
        deliver(&mut agent, now, &[]);
        fail_poll(&mut agent, now, &Contact::Unanswered);
    }
    assert_eq!(crashes(&mut agent, millis(20_000)), []);
}

/// Guards against the crash of an idle worker whose task had just been started: the last answer to a poll is old.
#[test]
fn an_answer_to_a_start_shows_that_the_worker_was_in_reach() {
    let mut agent = agent();
    deliver(&mut agent, millis(7_300), &[1]);
    let calls = agent.due_calls(millis(7_300));
    agent.call_answered(millis(7_301), &calls[0], Answer::Accepted);
    fail_poll(&mut agent, millis(7_310), &Contact::Unanswered);
    fail_poll(&mut agent, millis(7_510), &Contact::Refused);
    replace(&mut agent, millis(10_300));
    assert_eq!(crashes(&mut agent, millis(10_300)).len(), 1);
}
