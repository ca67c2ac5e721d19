//! All roles in one process over loopback sockets, for both example deployments in turn.
//!
//! | module | content |
//! |---|---|
//! | `deployment` | the example deployments, as files in this binary |
//! | `system` | the stand-ins, entries and agents, each on its own thread |
//! | `callers` | callers that send requests through all entries and record the outcomes |
//! | `operator` | a client of the operators' interface |
//! | `steps` | the steps of the demonstration, in order |
//! | `audit` | checks of the invariants against the stand-ins' ledgers and the callers' records |
//! | `progress` | the output |

mod audit;
mod callers;
mod deployment;
mod operator;
mod progress;
mod steps;
mod system;

use crate::failure::Failure;
use deployment::Deployment;
use godwitstep::telemetry::{self, Format, Level};
use progress::Progress;

/// Runs the demonstration. Fails if a step did not succeed or an invariant did not hold.
pub fn run() -> Result<(), Failure> {
    // Steps that take a failure domain out of service cause expected warnings, so only errors are
    // logged.
    telemetry::start(Format::Human, Level::Error)
        .map_err(|error| Failure::Failed(error.to_string()))?;
    let progress = Progress::new();
    let mut failures = Vec::new();
    for deployment in &Deployment::ALL {
        failures.extend(run_deployment(&progress, deployment)?);
    }
    if failures.is_empty() {
        progress.print_line("all invariants held");
        return Ok(());
    }
    for line in &failures {
        progress.print_line(&format!("BROKEN {line}"));
    }
    Err(Failure::Failed(format!(
        "{} check(s) of the demonstration failed",
        failures.len()
    )))
}

/// Runs the steps for one deployment and returns a line for each failed step or violated invariant.
fn run_deployment(progress: &Progress, deployment: &Deployment) -> Result<Vec<String>, Failure> {
    progress.print_title(deployment);
    let system = system::System::start(deployment)?;
    let callers = callers::Callers::start(deployment, &system)?;
    let mut steps = steps::Steps::new(progress, deployment, &system, &callers);
    let results = smol::block_on(async { [steps.run().await, steps.cancel_jobs().await] });
    let mut failures = Vec::new();
    for failure in results.into_iter().filter_map(Result::err) {
        progress.print_line(&format!("FAILED {failure}"));
        failures.push(format!("{}: {failure}", deployment.region));
    }
    let observations = steps.into_observations();
    let requests = callers.finish();
    let hosts = system.stop(&mut failures);
    let violations = audit::check(&requests, &observations, &hosts);
    progress.print_line(&format!(
        "checked against the ledgers: {} requests, {} runs at targets, {} tasks on workers, {} jobs: {}",
        requests.len(),
        hosts.iter().map(|host| host.requests.len()).sum::<usize>(),
        hosts.iter().map(|host| host.tasks.len()).sum::<usize>(),
        observations.jobs.len(),
        match violations.len() {
            0 => "no violations".to_owned(),
            count => format!("{count} VIOLATIONS"),
        }
    ));
    failures.extend(violations);
    Ok(failures)
}
