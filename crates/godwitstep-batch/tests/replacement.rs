//! Tests of an agent whose worker is replaced, or seems to be because of a message of another writer.

use godwitstep_batch::agent::{Agent, Contact, Registered, Registration, RunLists, Transition};
use godwitstep_batch::bounds::Bounds;
use godwitstep_batch::demand::Demand;
use godwitstep_batch::id::{Epoch, Incarnation, Task};
use godwitstep_batch::message::{Directive, Running, WorkerInfo};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
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
        started_ms: Some(50),
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

const fn address(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}

/// Address of the worker in a deployment that fixes it.
const ADDRESS: SocketAddr = address(1);

/// Registers an incarnation at an address and returns whether it was unknown.
fn register(
    agent: &mut Agent,
    now: Duration,
    worker: &str,
    started_ms: u64,
    at: SocketAddr,
) -> Registered {
    agent.register(now, registration(worker, started_ms, 1), at)
}

/// Expects a probe of an incarnation and delivers its result.
fn answer_probe(
    agent: &mut Agent,
    now: Duration,
    expected: &Incarnation,
    contact: Contact,
) -> Transition {
    let probe = agent.due_probe(now).expect("a probe is due");
    assert_eq!(probe.request.incarnation, *expected);
    assert_eq!(
        probe.request.deadline, None,
        "a probe does not extend a lease"
    );
    agent.probe_answered(now, now, &probe, contact)
}

/// Delivers an answer of an incarnation to a regular poll that was sent at the same time.
fn answer_poll(agent: &mut Agent, now: Duration, expected: &Incarnation, contact: Contact) {
    let request = agent.lease_request(now).expect("a worker is known");
    assert_eq!(request.incarnation, *expected);
    match contact {
        Contact::Lists(lists) => {
            agent.poll_answered(now, now, expected, lists);
        }
        failure => {
            agent.poll_failed(now, expected, &failure);
        }
    }
}

fn current() -> Incarnation {
    incarnation("worker-1", 50)
}

/// Returns the lists of an incarnation without runs.
fn empty_lists(started_ms: u64) -> Contact {
    Contact::Lists(RunLists {
        clock: 1_000,
        started_ms: Some(started_ms),
        ..RunLists::default()
    })
}

/// Returns an agent that knows a decider but no worker.
fn new_agent() -> Agent {
    let mut agent = Agent::new(Duration::ZERO, "host-1".into(), 1, Bounds::default());
    deliver(&mut agent, Duration::ZERO);
    agent
}

/// Returns an agent whose worker `worker-1`, started at 50, answered polls with one active run until time zero.
fn agent() -> Agent {
    let mut agent = new_agent();
    register(&mut agent, Duration::ZERO, "worker-1", 50, ADDRESS);
    let first = Contact::Lists(lists());
    answer_probe(&mut agent, Duration::ZERO, &current(), first);
    answer_poll(
        &mut agent,
        Duration::ZERO,
        &current(),
        Contact::Lists(lists()),
    );
    agent
}

/// Guards against a live worker that another registration on its host displaces.
#[test]
fn a_registration_does_not_replace_a_worker_that_answers() {
    let mut agent = agent();
    for (worker, at) in [
        ("worker-2", ADDRESS),
        ("worker-1", ADDRESS),
        ("worker-3", address(2)),
    ] {
        register(&mut agent, millis(100), worker, u64::MAX, at);
    }
    for step in 1..=100_u64 {
        let now = millis(100 + 50 * step);
        deliver(&mut agent, now);
        if let Some(probe) = agent.due_probe(now) {
            let contact = if probe.address == ADDRESS {
                Contact::OtherLife
            } else {
                Contact::Unanswered
            };
            let transition = agent.probe_answered(now, now, &probe, contact);
            assert_eq!(transition, Transition::Unchanged);
        }
        // An answer to a poll that was sent before the registration does not refute it.
        agent.poll_answered(now, millis(99), &current(), lists());
        let request = agent.lease_request(now).expect("a worker is known");
        assert_eq!(request.incarnation, current());
        assert!(request.deadline.is_some(), "the lease is renewed");
        let worker = agent.report(now, false).worker.unwrap();
        assert_eq!(
            (worker.info.incarnation, worker.running.len()),
            (current(), 1)
        );
    }
    assert_eq!(agent.take_refuted(), []);
    answer_poll(
        &mut agent,
        millis(6_000),
        &current(),
        Contact::Lists(lists()),
    );
    assert_eq!(
        agent.take_refuted().len(),
        3,
        "the current worker has answered"
    );
    assert_eq!(agent.next_probe(), None);
}

/// Guards against a worker that is ignored for good because the time of day was set back before it restarted.
#[test]
fn a_worker_that_restarts_with_an_earlier_start_is_accepted() {
    for (worker, started_ms) in [
        ("worker-1", 40),
        ("worker-1", 60),
        ("worker-2", 40),
        ("worker-2", 60),
    ] {
        let mut agent = agent();
        register(&mut agent, millis(100), worker, started_ms, ADDRESS);
        let restarted = incarnation(worker, started_ms);
        let transition = answer_probe(&mut agent, millis(100), &restarted, empty_lists(started_ms));
        let previous = Some(current());
        assert_eq!(transition, Transition::Started { previous });
        let report = agent.report(millis(101), false);
        let reported = report.worker.unwrap();
        assert_eq!(reported.info.incarnation, restarted);
        assert_eq!(reported.running, []);
        let replaced = (worker != "worker-1").then(current);
        assert_eq!(report.deregistered, replaced);
    }
}

/// Guards against a worker that takes over late because its first probe was lost.
#[test]
fn a_probe_that_fails_is_repeated() {
    let mut agent = agent();
    register(&mut agent, millis(100), "worker-2", 60, ADDRESS);
    let restarted = incarnation("worker-2", 60);
    answer_probe(&mut agent, millis(100), &restarted, Contact::Unanswered);
    let again = agent.next_probe().expect("a probe is due");
    assert!(again <= millis(400), "{again:?}");
    answer_probe(&mut agent, again, &restarted, Contact::Refused);
    register(&mut agent, millis(1_600), "worker-2", 60, ADDRESS);
    answer_probe(&mut agent, millis(1_600), &restarted, empty_lists(60));
    assert_eq!(agent.incarnation(), Some(&restarted));
}

/// Guards against a restart that is taken for granted because a stray answer without a start came under the old name.
#[test]
fn a_restart_under_the_same_name_is_shown_by_the_start_in_the_answer() {
    let mut agent = agent();
    register(&mut agent, millis(100), "worker-1", 60, ADDRESS);
    let restarted = incarnation("worker-1", 60);
    let transition = answer_probe(
        &mut agent,
        millis(100),
        &restarted,
        Contact::Lists(RunLists::default()),
    );
    assert_eq!(transition, Transition::Unchanged);
    assert_eq!(agent.incarnation(), Some(&current()));
}

/// Guards against a worker elsewhere that takes over while the current one may still run tasks.
#[test]
fn a_worker_at_another_address_takes_over_once_the_current_one_is_gone() {
    let other = incarnation("worker-2", 60);
    for evidence in [Contact::Refused, Contact::OtherLife] {
        let mut agent = agent();
        register(&mut agent, millis(100), "worker-2", 60, address(2));
        answer_probe(&mut agent, millis(100), &other, empty_lists(60));
        assert_eq!(agent.incarnation(), Some(&current()));
        answer_probe(&mut agent, millis(200), &current(), evidence);
        answer_probe(&mut agent, millis(300), &other, empty_lists(60));
        assert_eq!(agent.incarnation(), Some(&other));
    }
}

/// Guards against a silent worker that is renewed for ever, and a successor that takes over within its lease.
#[test]
fn a_worker_at_another_address_waits_for_the_lease_of_a_silent_one() {
    let mut agent = agent();
    let other = incarnation("worker-2", 60);
    let mut now = Duration::ZERO;
    while agent.incarnation() != Some(&other) {
        now += millis(100);
        assert!(now < millis(8_000), "the successor takes over");
        deliver(&mut agent, now);
        register(&mut agent, now, "worker-2", 60, address(2));
        if agent.incarnation() == Some(&current()) {
            answer_poll(&mut agent, now, &current(), Contact::Unanswered);
        }
        if let Some(probe) = agent.due_probe(now) {
            let contact = match &*probe.request.incarnation.worker {
                "worker-1" => Contact::Unanswered,
                _ => empty_lists(60),
            };
            agent.probe_answered(now, now, &probe, contact);
        }
    }
    assert!(now > Bounds::default().worker_lease(), "{now:?}");
}

/// Guards against runs of a live worker that end because a restarted agent reports another one.
#[test]
fn a_new_agent_reports_a_worker_only_once_it_has_answered() {
    let mut agent = new_agent();
    register(&mut agent, millis(100), "worker-2", u64::MAX, ADDRESS);
    register(&mut agent, millis(101), "worker-1", 50, ADDRESS);
    assert_eq!(agent.report(millis(101), false).worker, None);
    answer_probe(&mut agent, millis(101), &current(), Contact::Lists(lists()));
    let worker = agent.report(millis(102), false).worker.unwrap();
    assert_eq!(worker.info.incarnation, current());
}

/// Guards against a late heartbeat of an earlier incarnation that takes the place of the restarted worker.
#[test]
fn a_late_heartbeat_of_an_earlier_incarnation_is_ignored() {
    let mut agent = agent();
    register(&mut agent, millis(100), "worker-1", 40, ADDRESS);
    let earlier = incarnation("worker-1", 40);
    answer_probe(&mut agent, millis(100), &earlier, Contact::OtherLife);
    assert_eq!(agent.incarnation(), Some(&current()));
    answer_poll(&mut agent, millis(200), &current(), Contact::Lists(lists()));
    assert_eq!(agent.take_refuted(), [earlier]);
}

/// Guards against memory and calls that grow with the number of names that another writer registers.
#[test]
fn candidates_and_probes_are_bounded() {
    let mut agent = agent();
    let mut probes = 0;
    for number in 0..1_000_u64 {
        let now = millis(100 + number);
        register(&mut agent, now, &format!("odd-{number}"), 60, ADDRESS);
        if let Some(probe) = agent.due_probe(now) {
            probes += 1;
            agent.probe_answered(now, now, &probe, Contact::OtherLife);
        }
    }
    assert!(probes <= 20, "{probes} probes in a second");
    answer_poll(
        &mut agent,
        millis(2_000),
        &current(),
        Contact::Lists(lists()),
    );
    assert!(agent.take_refuted().len() <= 4);
}

/// Guards against new runs on a draining worker whose registrations a huge sequence number hides.
#[test]
fn a_huge_sequence_number_does_not_hide_that_a_worker_is_draining() {
    let mut agent = agent();
    agent.register(millis(100), registration("worker-1", 50, u64::MAX), ADDRESS);
    let mut draining = registration("worker-1", 50, 2);
    draining.info.draining = true;
    agent.register(millis(200), draining, ADDRESS);
    assert!(agent.draining());
}

/// Guards against a capacity of a worker that another writer registered.
#[test]
fn another_capacity_of_the_same_worker_has_to_be_confirmed() {
    let mut agent = agent();
    let capacity = |agent: &mut Agent| {
        let worker = agent.report(millis(10), false).worker.unwrap();
        worker.info.capacity.cpu
    };
    let mut odd = registration("worker-1", 50, u64::MAX);
    odd.info.capacity.cpu = u64::MAX;
    for sequence in 2..10 {
        agent.register(millis(100 * sequence), odd.clone(), ADDRESS);
        assert_eq!(capacity(&mut agent), 0);
        let usual = registration("worker-1", 50, sequence);
        agent.register(millis(100 * sequence + 50), usual, ADDRESS);
        assert_eq!(capacity(&mut agent), 0);
    }
    let mut other = registration("worker-1", 50, 11);
    other.info.capacity.cpu = 7;
    for _ in 0..2 {
        agent.register(millis(2_000), other.clone(), ADDRESS);
    }
    assert_eq!(capacity(&mut agent), 7);
}

/// Guards against a worker that is never polled, because the probes of names that another writer registers come first.
#[test]
fn registrations_that_do_not_answer_do_not_starve_the_probe_of_a_worker() {
    let probe_timeout = millis(700);
    let mut agent = new_agent();
    let mut now = Duration::ZERO;
    let mut next_registration = Duration::ZERO;
    while now < Duration::from_secs(60) {
        while next_registration <= now {
            register(&mut agent, now, "worker-1", 50, address(1));
            for (name, port) in [("other-1", 2), ("other-2", 3)] {
                register(&mut agent, now, name, 50, address(port));
            }
            next_registration += Duration::from_secs(1);
        }
        let Some(probe) = agent.due_probe(now) else {
            now += millis(50);
            continue;
        };
        if probe.address == address(1) {
            return;
        }
        let sent = now;
        now += probe_timeout;
        agent.probe_answered(now, sent, &probe, Contact::Unanswered);
    }
    panic!("worker-1 was not polled within 60 s");
}

/// Guards against new runs on a worker that deregistered before it answered its first poll.
#[test]
fn a_deregistration_before_the_first_answer_is_kept() {
    let mut agent = new_agent();
    register(&mut agent, Duration::ZERO, "worker-1", 50, ADDRESS);
    agent.deregister(millis(10), "worker-1");
    answer_probe(&mut agent, millis(20), &current(), empty_lists(50));
    assert!(agent.draining(), "the worker gets new runs");
}

/// Guards against a live worker that is lost because another one answered a new agent first.
#[test]
fn a_new_agent_waits_for_a_worker_that_has_registered_before_another_takes_over() {
    let mut agent = new_agent();
    register(&mut agent, Duration::ZERO, "worker-1", 50, address(1));
    answer_probe(&mut agent, Duration::ZERO, &current(), Contact::Unanswered);
    register(&mut agent, millis(100), "worker-2", 60, address(2));
    let second = incarnation("worker-2", 60);
    answer_probe(&mut agent, millis(100), &second, empty_lists(60));
    assert_eq!(
        agent
            .report(millis(110), false)
            .worker
            .map(|worker| worker.info.incarnation),
        None,
        "worker-1 may hold a lease that an earlier process of the agent requested"
    );
}

/// Guards against a restarted agent that loses the runs of its worker, or is delayed, because of another registration.
#[test]
fn a_new_agent_takes_a_worker_with_active_runs_at_once() {
    let mut agent = new_agent();
    register(&mut agent, millis(100), "worker-2", 60, address(2));
    register(&mut agent, millis(101), "worker-1", 50, address(1));
    answer_probe(&mut agent, millis(101), &current(), Contact::Lists(lists()));
    assert_eq!(agent.incarnation(), Some(&current()));
}

/// Guards against a restarted agent that waits for a worker that another one has replaced.
#[test]
fn a_new_agent_does_not_wait_for_a_worker_that_is_gone() {
    let second = incarnation("worker-2", 60);
    for (at, evidence) in [
        (address(1), None),
        (address(2), Some(Contact::Refused)),
        (address(2), Some(Contact::OtherLife)),
    ] {
        let mut agent = new_agent();
        register(&mut agent, millis(100), "worker-1", 50, address(1));
        if let Some(evidence) = evidence {
            answer_probe(&mut agent, millis(100), &current(), evidence);
        }
        register(&mut agent, millis(200), "worker-2", 60, at);
        answer_probe(&mut agent, millis(200), &second, empty_lists(60));
        assert_eq!(agent.incarnation(), Some(&second));
    }
}

/// Guards against a worker that a registration of another writer keeps out for longer than a lease of an earlier process.
#[test]
fn a_new_agent_waits_for_another_worker_only_while_it_may_hold_a_lease() {
    let mut agent = new_agent();
    let second = incarnation("worker-2", 60);
    let mut now = Duration::ZERO;
    while agent.incarnation().is_none() {
        now += millis(50);
        assert!(now < millis(7_500), "worker-2 takes over");
        if now.as_millis().is_multiple_of(400) {
            deliver(&mut agent, now);
            register(&mut agent, now, "worker-1", 50, address(1));
            register(&mut agent, now, "worker-2", 60, address(2));
        }
        if let Some(probe) = agent.due_probe(now) {
            let contact = match &*probe.request.incarnation.worker {
                "worker-1" => Contact::Unanswered,
                _ => empty_lists(60),
            };
            agent.probe_answered(now, now, &probe, contact);
        }
    }
    assert_eq!(agent.incarnation(), Some(&second));
    assert!(now > Bounds::default().worker_lease(), "{now:?}");
}
