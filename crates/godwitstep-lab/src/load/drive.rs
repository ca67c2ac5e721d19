//! Arrivals at random times, whether or not earlier requests have been answered.

use super::path::Path;
use super::tally::{Summary, Tally};
use smol::LocalExecutor;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Requests in flight on one path; arrivals beyond it are counted as `skipped`.
const IN_FLIGHT: usize = 10_000;

/// How much load.
#[derive(Debug, Clone, Copy)]
pub(super) struct Load {
    /// Requests a second; 0 for none, to observe idle processes.
    pub(super) rate: u64,
    pub(super) time: Duration,
    pub(super) seed: u64,
    /// Deadline of each request.
    pub(super) deadline: Duration,
}

/// Sends requests at exponentially distributed intervals and waits for all answers.
pub(super) async fn run(
    executor: &LocalExecutor<'_>,
    path: Rc<Path>,
    load: Load,
    seed: u64,
) -> Summary {
    let tally = Rc::new(RefCell::new(Tally::new(load.deadline)));
    let mut rng = fastrand::Rng::with_seed(seed);
    let begin = Instant::now();
    let mut tasks = Vec::new();
    let mut at = Duration::ZERO;
    for number in 0.. {
        at += interval(&mut rng, load.rate).unwrap_or(load.time);
        if at >= load.time {
            break;
        }
        smol::Timer::at(begin + at).await;
        // The latency counts from the planned arrival, so that a generator that falls behind does
        // not hide the wait.
        let arrival = begin + at;
        if tally.borrow().in_flight >= IN_FLIGHT {
            tally.borrow_mut().skip();
            continue;
        }
        tally.borrow_mut().in_flight += 1;
        let (path, tally) = (Rc::clone(&path), Rc::clone(&tally));
        tasks.push(executor.spawn(async move {
            let outcome = path.ask(number).await;
            tally.borrow_mut().add(outcome, arrival.elapsed());
        }));
        if tasks.len() >= IN_FLIGHT * 2 {
            tasks.retain(|task| !task.is_finished());
        }
    }
    smol::Timer::at(begin + load.time).await;
    for task in tasks {
        task.await;
    }
    let tally = tally.borrow().clone();
    tally.summary(path.name, load.time)
}

fn interval(rng: &mut fastrand::Rng, rate: u64) -> Option<Duration> {
    let mean = Duration::from_secs(1).checked_div(u32::try_from(rate).ok()?)?;
    Some(mean.mul_f64(-(1.0 - rng.f64()).ln()))
}
