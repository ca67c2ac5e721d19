//! Gauges that are updated whenever the metrics are read.

use super::{State, operating_mode};
use godwitstep_core::authority::OperatingMode;
use godwitstep_core::registry::Stream;
use godwitstep_core::resource::Phase;
use metrics::gauge;

/// Job phases and their values of the `phase` label.
const PHASES: [(Phase, &str); 6] = [
    (Phase::Queued, "queued"),
    (Phase::Running, "running"),
    (Phase::Done, "done"),
    (Phase::Failed, "failed"),
    (Phase::Cancelled, "cancelled"),
    (Phase::Unknown, "unknown"),
];

/// Operating modes and their values of the `standing` label.
const OPERATING_MODES: [(OperatingMode, &str); 3] = [
    (OperatingMode::Normal, "fresh"),
    (OperatingMode::Degraded, "coasting"),
    (OperatingMode::Halted, "halted"),
];

/// Sets all gauges from the current state.
#[allow(clippy::cast_precision_loss)]
pub(super) fn update(state: &State) {
    if let Some(front) = state.front() {
        let (waiting, open) = front.inspect(|router| (router.waiting(), router.open()));
        gauge!("godwitstep_requests_waiting").set(waiting as f64);
        gauge!("godwitstep_requests_open").set(open as f64);
    }
    let links = state.links.borrow();
    gauge!("godwitstep_links", "peer" => "agent").set(links.agents().count() as f64);
    gauge!("godwitstep_links", "peer" => "entry").set(links.peers().count() as f64);
    for (operating_mode, name) in OPERATING_MODES {
        let current = state.operating_mode.get() == operating_mode;
        gauge!("godwitstep_standing", "standing" => name).set(f64::from(u8::from(current)));
    }
    if let Some(evidence) = operating_mode::oldest_evidence(state, state.now()) {
        gauge!("godwitstep_evidence_age_seconds").set(evidence.age.as_secs_f64());
    }
    let deciding = state.decider.borrow().is_some();
    gauge!("godwitstep_decider").set(f64::from(u8::from(deciding)));
    let registry = state.registry.borrow();
    for (stream, name) in [(Stream::Config, "config"), (Stream::Jobs, "jobs")] {
        gauge!("godwitstep_position", "stream" => name).set(registry.position(stream) as f64);
    }
    let mut jobs = [0_u64; PHASES.len()];
    for (_, job) in registry.jobs() {
        let index = PHASES
            .iter()
            .position(|(phase, _)| *phase == job.status.phase);
        if let Some(count) = index.and_then(|index| jobs.get_mut(index)) {
            *count += 1;
        }
    }
    for ((_, name), count) in PHASES.into_iter().zip(jobs) {
        gauge!("godwitstep_jobs", "phase" => name).set(count as f64);
    }
}
