//! Tests of an agent whose worker has deregistered, or seems to have.

use godwitstep_batch::agent::{Agent, Contact, Registration, RunLists, Transition};
use godwitstep_batch::bounds::Bounds;
use godwitstep_batch::demand::Demand;
use godwitstep_batch::id::{Epoch, Incarnation, Task};
use godwitstep_batch::message::{
    Directive, Reachability, Report, Running, Start, Worker, WorkerInfo,
};
use std::net::SocketAddr;
use std::time::Duration;

const EPOCH: Epoch = 1 << 20;
/// Ends that the decider has recorded.
const RECORDED: u64 = 5;
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

fn register(agent: &mut Agent, now: Duration, started_ms: u64, draining: bool) {
    let info = WorkerInfo {
        incarnation: incarnation(started_ms),
        pool: "floor".into(),
        domain: "domain-1".into(),
        capacity: Demand::default(),
        labels: Vec::new(),
        rack: None,
        draining,
    };
    let sequence = 1;
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    agent.register(now, Registration { info, sequence }, address);
}

/// Returns the answer of an incarnation to a poll, with one active run.
fn lists(started_ms: u64) -> RunLists {
    let running = vec![Running {
        task: TASK,
        run: 1,
        saved: "".into(),
        percent: 0,
    }];
    RunLists {
        clock: 1_000,
        started_ms: Some(started_ms),
        running,
        ..RunLists::default()
    }
}

/// Delivers a decider's reply, with the order to start a run, to a report at the same time.
fn deliver(agent: &mut Agent, now: Duration) {
    let report = agent.report(now, false);
    agent.apply_directive(now, reply(report));
}

/// Returns the decider's reply to a report, with the order to start a run.
fn reply(report: Report) -> Directive {
    Directive {
        epoch: EPOCH,
        sequence: report.sequence,
        incarnation: report.worker.map(|worker| worker.info.incarnation),
        start: vec![Start {
            task: TASK,
            run: 2,
            spec: "spec".into(),
            saved: "".into(),
        }],
        recorded: RECORDED,
        ..Directive::default()
    }
}

/// Expects a probe and delivers its result.
fn answer_probe(agent: &mut Agent, now: Duration, contact: Contact) -> Transition {
    let probe = agent.due_probe(now).expect("a probe is due");
    agent.probe_answered(now, now, &probe, contact)
}

/// Delivers an answer of the worker to a regular poll that was sent at the same time.
fn answer_poll(agent: &mut Agent, now: Duration, contact: Contact) -> Transition {
    let request = agent.lease_request(now).expect("a worker is known");
    match contact {
        Contact::Lists(lists) => {
            agent.poll_answered(now, now, &request.incarnation, lists);
            Transition::Unchanged
        }
        failure => agent.poll_failed(now, &request.incarnation, &failure),
    }
}

/// Returns an agent whose worker, started at 50, has one active run and deregistered after 100 ms.
fn leaving_agent() -> Agent {
    let mut agent = Agent::new(Duration::ZERO, "host-1".into(), 1, Bounds::default());
    deliver(&mut agent, Duration::ZERO);
    register(&mut agent, Duration::ZERO, 50, false);
    answer_probe(&mut agent, Duration::ZERO, Contact::Lists(lists(50)));
    answer_poll(&mut agent, Duration::ZERO, Contact::Lists(lists(50)));
    assert!(!agent.deregister(millis(90), "worker-2"));
    assert!(agent.deregister(millis(100), "worker-1"));
    agent
}

fn reported_worker(report: Report) -> Worker {
    assert_eq!(report.deregistered, None);
    report.worker.expect("the worker is reported")
}

fn assert_gone(agent: &mut Agent, now: Duration, transition: &Transition) {
    assert_eq!(*transition, Transition::Left(incarnation(50)));
    let report = agent.report(now, false);
    assert_eq!(report.worker, None);
    assert_eq!(report.deregistered, Some(incarnation(50)));
}

/// Guards against a second run of a task while the first one goes on at a worker that has deregistered but not ended.
#[test]
fn a_deregistered_worker_that_answers_is_not_gone() {
    let mut agent = leaving_agent();
    for step in 1..=20 {
        let now = millis(100 + 100 * step);
        if agent.due_probe(now).is_some_and(|probe| {
            agent.probe_answered(now, now, &probe, Contact::Lists(lists(50)))
                != Transition::Unchanged
        }) {
            panic!("the worker answers");
        }
        answer_poll(&mut agent, now, Contact::Lists(lists(50)));
        deliver(&mut agent, now);
        assert_eq!(agent.due_calls(now), [], "nothing starts");
        let worker = reported_worker(agent.report(now, false));
        assert_eq!((worker.running.len(), worker.info.draining), (1, true));
    }
}

/// Guards against lost work that is restarted late because the end of a deregistered worker shows late.
#[test]
fn a_deregistered_worker_is_gone_once_its_address_refuses_or_another_answers() {
    for evidence in [Contact::Refused, Contact::OtherLife] {
        let mut agent = leaving_agent();
        let transition = answer_probe(&mut agent, millis(100), evidence.clone());
        assert_gone(&mut agent, millis(100), &transition);

        let mut agent = leaving_agent();
        answer_probe(&mut agent, millis(100), Contact::Lists(lists(50)));
        let next = agent.next_probe().expect("a probe is due");
        assert!(next <= millis(300), "{next:?}");
        // The connection of the regular poll breaks when the worker ends.
        let transition = answer_poll(&mut agent, millis(160), Contact::Unanswered);
        assert_eq!(transition, Transition::Unchanged);
        let transition = answer_probe(&mut agent, millis(160), evidence.clone());
        assert_gone(&mut agent, millis(160), &transition);

        let mut agent = leaving_agent();
        let transition = answer_poll(&mut agent, millis(160), evidence);
        assert_gone(&mut agent, millis(160), &transition);
    }
}

/// Guards against two runs of one task: a worker that has deregistered and restarted under its name counted as gone with
/// its runs, while the next incarnation worked on a start that was meant for it (soak, seed 9550).
#[test]
fn a_deregistered_worker_that_has_restarted_under_its_name_is_not_gone() {
    let mut agent = leaving_agent();
    deliver(&mut agent, millis(105));
    let request = agent.lease_request(millis(105)).expect("it is polled");
    assert_eq!(request.recorded, RECORDED);
    let transition = answer_probe(&mut agent, millis(110), Contact::Restarted);
    assert_eq!(transition, Transition::Unchanged);
    let transition = answer_poll(&mut agent, millis(120), Contact::Restarted);
    assert_eq!(transition, Transition::Unchanged);
    // What is meant for the worker must not reach the next incarnation.
    let request = agent.lease_request(millis(130)).expect("it is polled");
    assert_eq!((request.deadline, request.recorded), (None, 0));
    let probe = agent.due_probe(millis(200)).expect("a probe is due");
    assert_eq!(probe.request.recorded, 0);
    let contact = Contact::Restarted;
    let transition = agent.probe_answered(millis(200), millis(200), &probe, contact);
    assert_eq!(transition, Transition::Unchanged);
    // The next incarnation takes over and lists what it runs.
    register(&mut agent, millis(900), 51, false);
    let transition = answer_probe(&mut agent, millis(900), Contact::Lists(lists(51)));
    let previous = Some(incarnation(50));
    assert_eq!(transition, Transition::Started { previous });
    let report = agent.report(millis(901), false);
    assert_eq!(report.deregistered, None);
    let worker = reported_worker(report);
    assert_eq!(worker.info.incarnation, incarnation(51));
    assert_eq!(worker.running.len(), 1);
}

/// Guards against a start that the next incarnation of a worker carries out, sent although the worker is known to have
/// restarted (soak, seed 9550).
#[test]
fn nothing_is_started_on_a_worker_that_has_restarted() {
    let mut agent = Agent::new(Duration::ZERO, "host-1".into(), 1, Bounds::default());
    deliver(&mut agent, Duration::ZERO);
    register(&mut agent, Duration::ZERO, 50, false);
    answer_probe(&mut agent, Duration::ZERO, Contact::Lists(lists(50)));
    answer_poll(&mut agent, millis(100), Contact::Restarted);
    deliver(&mut agent, millis(110));
    assert_eq!(agent.due_calls(millis(110)), []);
    answer_poll(&mut agent, millis(300), Contact::Lists(lists(50)));
    assert_eq!(agent.due_calls(millis(300)).len(), 1);
}

/// Guards against two runs of one task where the next incarnation of a worker sends no heartbeats: its runs count as over
/// only once no late start can run any more.
#[test]
fn a_restarted_worker_that_never_registers_is_gone_once_no_late_start_can_run() {
    let late_starts_end = Bounds::default().max_lease_duration() * 2;
    let mut agent = leaving_agent();
    let mut now = millis(100);
    loop {
        now += millis(100);
        assert!(now < millis(20_000), "its end shows");
        let report = agent.report(now, false);
        let worker = report.worker.as_ref().expect("the worker is reported");
        let over = worker.reachability == Reachability::LeaseExpired;
        assert!(!over || now > late_starts_end, "{now:?}");
        agent.apply_directive(now, reply(report));
        let transition = answer_poll(&mut agent, now, Contact::Restarted);
        if transition != Transition::Unchanged {
            assert_gone(&mut agent, now, &transition);
            break;
        }
    }
    assert!(now > late_starts_end, "{now:?}");
}

/// Guards against a silent worker that counts as gone before its lease has expired, or never.
#[test]
fn a_deregistered_worker_that_is_silent_is_gone_once_its_lease_has_expired() {
    let mut agent = leaving_agent();
    let mut now = millis(100);
    loop {
        now += millis(100);
        assert!(now < millis(8_000), "its end shows");
        deliver(&mut agent, now);
        let transition = answer_poll(&mut agent, now, Contact::Unanswered);
        if transition != Transition::Unchanged {
            assert_gone(&mut agent, now, &transition);
            break;
        }
    }
    assert!(now > Bounds::default().worker_lease(), "{now:?}");
}

/// Guards against a live worker without work after a late deregistration under its name.
#[test]
fn a_late_deregistration_of_an_earlier_life_bars_no_worker() {
    let mut agent = leaving_agent();
    register(&mut agent, millis(150), 50, false);
    answer_poll(&mut agent, millis(200), Contact::Lists(lists(50)));
    assert!(
        agent.draining(),
        "a heartbeat that was under way shows nothing"
    );
    register(&mut agent, millis(1_650), 50, false);
    assert!(!agent.draining());
    answer_poll(&mut agent, millis(1_700), Contact::Lists(lists(50)));
    deliver(&mut agent, millis(1_700));
    assert_eq!(agent.due_calls(millis(1_700)).len(), 1);
}

/// Guards against new runs on a worker that has said that it drains.
#[test]
fn a_draining_worker_that_has_deregistered_stays_out() {
    let mut agent = leaving_agent();
    register(&mut agent, millis(150), 50, true);
    answer_poll(&mut agent, millis(200), Contact::Lists(lists(50)));
    register(&mut agent, millis(1_650), 50, false);
    assert!(agent.draining());
}

/// Guards against a worker that is barred for good, because a partition refused a connection while it was leaving.
#[test]
fn a_worker_that_counts_as_gone_comes_back_by_its_answer_only() {
    let mut agent = leaving_agent();
    let transition = answer_probe(&mut agent, millis(100), Contact::Refused);
    assert_gone(&mut agent, millis(100), &transition);
    register(&mut agent, millis(1_000), 50, false);
    assert_eq!(agent.report(millis(1_000), false).worker, None);
    answer_probe(&mut agent, millis(1_000), Contact::Lists(lists(50)));
    let worker = reported_worker(agent.report(millis(1_001), false));
    assert_eq!(worker.info.incarnation, incarnation(50));
}

/// Guards against a second run of a task: the decider has ended the runs of a worker that was reported as gone, and a start
/// that was ordered before arrives when the worker answers again.
#[test]
fn an_order_from_before_a_worker_counted_as_gone_is_not_carried_out_after_it() {
    let mut agent = leaving_agent();
    let before = agent.report(millis(100), false);
    let transition = answer_probe(&mut agent, millis(110), Contact::Refused);
    assert_gone(&mut agent, millis(110), &transition);
    register(&mut agent, millis(200), 50, false);
    answer_probe(&mut agent, millis(200), Contact::Lists(lists(50)));
    agent.apply_directive(millis(210), reply(before));
    assert_eq!(agent.due_calls(millis(210)), []);
    deliver(&mut agent, millis(220));
    assert_eq!(agent.due_calls(millis(220)).len(), 1);
}

/// Guards against lost work of a worker that ended before it had answered a restarted agent.
#[test]
fn a_worker_that_ends_before_it_has_answered_a_new_agent_is_reported_as_gone() {
    let mut agent = Agent::new(Duration::ZERO, "host-1".into(), 1, Bounds::default());
    register(&mut agent, Duration::ZERO, 50, true);
    assert!(!agent.deregister(millis(100), "worker-1"));
    assert_eq!(agent.report(millis(100), false).deregistered, None);
    deliver(&mut agent, millis(200));
    let transition = answer_probe(&mut agent, millis(200), Contact::Refused);
    assert_gone(&mut agent, millis(200), &transition);
}

/// Guards against a worker that counts as gone, because it did not accept calls yet when it registered.
#[test]
fn a_refused_connection_without_a_deregistration_shows_no_end() {
    let mut agent = Agent::new(Duration::ZERO, "host-1".into(), 1, Bounds::default());
    register(&mut agent, Duration::ZERO, 50, false);
    deliver(&mut agent, millis(200));
    let transition = answer_probe(&mut agent, millis(200), Contact::Refused);
    assert_eq!(transition, Transition::Unchanged);
    let report = agent.report(millis(200), false);
    assert_eq!((report.worker, report.deregistered), (None, None));
}
