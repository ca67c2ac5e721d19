//! R4: each caller receives the whole answer to its own request, even when answers are late or out
//! of order.

use crate::rig::{
    Agent, Ask, Cluster, Load, PATIENCE, Plan, Record, millis_between, quantile, silence,
    wait_until, wall_us,
};
use godwitstep_standin::proxy::{Control, DirectionControl};
use std::time::{Duration, Instant};

const SEED: u64 = 4;

/// Returns requests of different sizes and run times.
fn mixed(number: usize) -> Ask {
    let mut rng = fastrand::Rng::with_seed(SEED + number as u64);
    let mut ask = Ask::new(format!("mixed-{number}"), 0);
    let (run_ms, size) = (rng.u64(0..60), rng.usize(0..3_000));
    let filler: String = (0..size).map(|_| rng.alphanumeric()).collect();
    ask.body = format!(
        "{{\"run_ms\":{run_ms},\"of\":\"{}\",\"filler\":\"{filler}\"}}",
        ask.key
    );
    if number.is_multiple_of(3) {
        ask.idempotent()
    } else {
        ask
    }
}

fn check(cluster: &Cluster, records: &[Record]) {
    let answered = records.iter().filter(|record| record.last() == "answered");
    println!("{} of {} answered", answered.clone().count(), records.len());
    assert!(answered.count() > 300, "the path works under the faults");
    for record in records {
        assert!(
            record.whole,
            "another answer than its own: {:?}",
            record.ask.key
        );
    }
    for record in records.iter().filter(|record| !record.ask.idempotent) {
        assert!(
            cluster.starts(&record.ask.key) <= 1,
            "{} ran twice",
            record.ask.key
        );
    }
}

/// Guards against answers that are matched by connection or by order, and against a frame that is
/// taken for whole after its connection was reset in the middle.
#[test]
fn answers_that_are_late_and_cut_reach_their_own_callers() {
    let cluster = Cluster::serving(Plan::default());
    let jitter = DirectionControl {
        jitter_ms: Some(40),
        ..DirectionControl::default()
    };
    let ways = || cluster.agents.iter().flat_map(|agent| &agent.entries);
    for way in ways() {
        way.control(&Control {
            forward: jitter,
            backward: jitter,
            ..Control::default()
        });
    }
    let load = Load::start(&cluster.callers(), 24, true, mixed);
    let mut rng = fastrand::Rng::with_seed(SEED);
    let all: Vec<_> = ways().collect();
    for round in 0..12_u64 {
        let goal = (round + 1) * 40;
        wait_until("answers come", PATIENCE, || load.answered() >= goal);
        // Counted from the start of each connection, so it falls in the middle of some frame.
        let cut = DirectionControl {
            reset_after: Some(rng.u64(2_000..20_000)),
            ..DirectionControl::default()
        };
        let way = all[rng.usize(..all.len())];
        way.control(&Control {
            forward: cut,
            backward: cut,
            ..Control::default()
        });
        let healed = all[rng.usize(..all.len())];
        healed.control(&Control {
            heal: true,
            forward: jitter,
            backward: jitter,
            ..Control::default()
        });
    }
    for way in ways() {
        way.control(&Control::heal());
    }
    check(&cluster, &load.stop());
}

/// Guards against answers of an earlier life of an agent that are taken for those of the present.
#[test]
fn an_agent_that_restarts_at_its_address_answers_nobody_else() {
    let mut cluster = Cluster::serving(Plan::default());
    let load = Load::start(&cluster.callers(), 24, true, mixed);
    for round in 0..3 {
        let goal = (round + 1) * 150;
        wait_until("answers come", PATIENCE, || load.answered() >= goal);
        let node = &mut cluster.agents[1].node;
        node.process.kill();
        node.restart();
    }
    cluster.settle();
    check(&cluster, &load.stop());
}

/// Guards against a link that stays in use although nothing comes through it any more.
#[test]
fn a_silent_link_is_replaced_within_two_seconds() {
    let cluster = Cluster::serving(Plan::default());
    let load = Load::start(&[cluster.entries[0].callers], 16, false, |number| {
        Ask::new(format!("silent-{number}"), 0)
            .deadline_ms(300)
            .idempotent()
    });
    let mut moments = Vec::new();
    for _ in 0..5 {
        let last = |agent: &Agent| agent.runs().last().map_or(0, |run| run.started);
        for agent in &cluster.agents {
            silence(&agent.entries[0]);
        }
        let moment = wall_us();
        moments.push(moment);
        // What was on its way may still arrive at first.
        wait_until("every target is used again", PATIENCE, || {
            cluster
                .agents
                .iter()
                .all(|agent| last(agent) > moment + 500_000)
        });
        // A start is no answer yet: beside load the first requests miss their deadline.
        wait_until("a request sent since is answered", PATIENCE, || {
            load.answered_since(moment + 200_000)
        });
    }
    let records = load.stop();
    let again = |moment: &u64| {
        let after = records
            .iter()
            .filter(|record| record.sent > moment + 200_000);
        let answered = after.filter(|record| record.last() == "answered");
        millis_between(
            *moment,
            answered.map(|record| record.done).min().expect("an answer"),
        )
    };
    let figures: Vec<_> = moments.iter().map(again).collect();
    println!("served again after {figures:?} ms");
    // The limit of the machine's own delays is kept apart from that of the links.
    assert!(quantile(&figures, 0.5) <= 2_000, "{figures:?}");
    assert!(
        quantile(&figures, 0.0) >= 500,
        "the links were silent at all: {figures:?}"
    );
}

/// Guards against a reader of the log that waits for a connection that went silent.
#[test]
fn silent_connections_to_the_log_halt_nobody() {
    let cluster = Cluster::serving(Plan::default());
    for entry in &cluster.entries {
        silence(&entry.log);
    }
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(4) {
        for entry in &cluster.entries {
            let status = entry.status();
            assert_eq!(
                status["standing"],
                "fresh",
                "after {:?}: {status}",
                start.elapsed()
            );
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}
