//! Open-loop load generator: requests arrive at random times, whether or not earlier requests have
//! been answered.

use super::path::Path;
use super::statistics::{Statistics, Summary};
use smol::LocalExecutor;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Largest number of requests in flight on one path. Further arrivals are counted as `skipped`.
const MAX_IN_FLIGHT: usize = 10_000;

/// Parameters of the load on each path.
#[derive(Debug, Clone, Copy)]
pub(super) struct Load {
    /// Requests per second. 0 sends none, to measure idle processes.
    pub(super) rate: u64,
    pub(super) duration: Duration,
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
    let statistics = Rc::new(RefCell::new(Statistics::new(load.deadline)));
    let mut rng = fastrand::Rng::with_seed(seed);
    let start = Instant::now();
    let mut tasks = Vec::new();
    let mut offset = Duration::ZERO;
    for number in 0.. {
        offset += next_interval(&mut rng, load.rate).unwrap_or(load.duration);
        if offset >= load.duration {
            break;
        }
        smol::Timer::at(start + offset).await;
        // Latency is measured from the scheduled arrival. Otherwise the measurement would omit the
        // delay of requests that the generator sends late.
        let arrival = start + offset;
        if statistics.borrow().in_flight >= MAX_IN_FLIGHT {
            statistics.borrow_mut().record_skipped();
            continue;
        }
        statistics.borrow_mut().in_flight += 1;
        let (path, statistics) = (Rc::clone(&path), Rc::clone(&statistics));
        tasks.push(executor.spawn(async move {
            let outcome = path.send(number).await;
            statistics.borrow_mut().record(outcome, arrival.elapsed());
        }));
        if tasks.len() >= MAX_IN_FLIGHT * 2 {
            tasks.retain(|task| !task.is_finished());
        }
    }
    smol::Timer::at(start + load.duration).await;
    for task in tasks {
        task.await;
    }
    let statistics = statistics.borrow().clone();
    statistics.summary(path.name, load.duration)
}

/// Draws the time until the next arrival. Returns `None` if the rate is 0.
fn next_interval(rng: &mut fastrand::Rng, rate: u64) -> Option<Duration> {
    let mean = Duration::from_secs(1).checked_div(u32::try_from(rate).ok()?)?;
    Some(mean.mul_f64(-(1.0 - rng.f64()).ln()))
}
