//! Filters of lists and watches.

use crate::failure::Failure;
use clap::ArgMatches;
use godwitstep::resources::Collection;
use serde_json::Value;

/// Which jobs are wanted.
#[derive(Debug, Default)]
pub struct Filter {
    workspace: Option<String>,
    kind: Option<String>,
    domain: Option<String>,
}

impl Filter {
    /// Reads the filters of a command line. They are for jobs only.
    pub fn new(collection: Collection, matches: &ArgMatches) -> Result<Self, Failure> {
        let of = |name: &str| matches.get_one::<String>(name).cloned();
        let filter = Self {
            workspace: of("workspace"),
            kind: of("kind-of-work"),
            domain: of("domain"),
        };
        let none = [&filter.workspace, &filter.kind, &filter.domain];
        if collection == Collection::Jobs || none.iter().all(|given| given.is_none()) {
            return Ok(filter);
        }
        let what =
            format!("--workspace, --kind-of-work and --domain are for jobs, not {collection}");
        Err(Failure::Usage(what))
    }

    /// Returns the part that entries apply, as the end of a query.
    pub fn query(&self) -> String {
        let workspace = self.workspace.as_ref();
        workspace.map_or_else(String::new, |name| format!("&workspace={name}"))
    }

    /// Reports whether a job passes the part that entries don't apply.
    pub fn takes(&self, job: &Value) -> bool {
        let kind = self.kind.as_ref();
        let domain = self.domain.as_ref();
        let domains = job["status"]["domains"].as_array();
        kind.is_none_or(|kind| job["spec"]["kind"] == **kind)
            && domain.is_none_or(|domain| {
                domains.is_some_and(|list| list.iter().any(|item| item == domain))
            })
    }
}
