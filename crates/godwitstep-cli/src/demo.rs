//! All roles in one process over loopback sockets, for both example deployments in turn.
//!
//! | module | content |
//! |---|---|
//! | `deployment` | the example deployments, as files in this binary |
//! | `system` | the stand-ins, entries and agents, each on its own thread |
//! | `callers` | requests through all entries, and what the callers were told |
//! | `story` | what is shown, step by step |
//! | `audit` | the invariants, from the ledgers of the stand-ins and of the callers |

mod audit;
mod callers;
mod deployment;
mod operator;
mod show;
mod story;
mod system;

use crate::failure::Failure;
use deployment::Deployment;
use godwitstep::telemetry::{self, Format, Level};
use show::Show;

/// Runs the demonstration. Fails if a step did not succeed or an invariant did not hold.
pub fn run() -> Result<(), Failure> {
    // Steps in which domains leave give expected warnings, so only errors are written.
    telemetry::start(Format::Human, Level::Error)
        .map_err(|error| Failure::Failed(error.to_string()))?;
    let show = Show::new();
    let mut broken = Vec::new();
    for deployment in &Deployment::ALL {
        broken.extend(perform(&show, deployment)?);
    }
    if broken.is_empty() {
        show.line("all invariants held");
        return Ok(());
    }
    for line in &broken {
        show.line(&format!("BROKEN {line}"));
    }
    Err(Failure::Failed(format!(
        "{} check(s) of the demonstration failed",
        broken.len()
    )))
}

/// Runs one deployment and returns what did not hold.
fn perform(show: &Show, deployment: &Deployment) -> Result<Vec<String>, Failure> {
    show.title(deployment);
    let system = system::System::start(deployment)?;
    let callers = callers::Callers::start(deployment, &system)?;
    let mut told = story::Story::new(show, deployment, &system, &callers);
    let results = smol::block_on(async { [told.run().await, told.finish().await] });
    let mut broken = Vec::new();
    for failure in results.into_iter().filter_map(Result::err) {
        show.line(&format!("FAILED {failure}"));
        broken.push(format!("{}: {failure}", deployment.region));
    }
    let facts = told.facts();
    let requests = callers.end();
    let hosts = system.stop(&mut broken);
    let found = audit::check(&requests, &facts, &hosts);
    show.line(&format!(
        "checked from outside: {} requests, {} runs at targets, {} tasks on workers, {} jobs: {}",
        requests.len(),
        hosts.iter().map(|host| host.requests.len()).sum::<usize>(),
        hosts.iter().map(|host| host.tasks.len()).sum::<usize>(),
        facts.jobs.len(),
        match found.len() {
            0 => "everything as told".to_owned(),
            count => format!("{count} FAULTS"),
        }
    ));
    broken.extend(found);
    Ok(broken)
}
