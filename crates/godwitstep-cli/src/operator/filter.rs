//! Filters of lists and watches.

use crate::failure::Failure;
use clap::ArgMatches;
use godwitstep::resources::Collection;
use serde_json::Value;

/// Selects jobs by their workspace, kind of work and failure domain.
#[derive(Debug, Default)]
pub struct Filter {
    workspace: Option<String>,
    kind: Option<String>,
    domain: Option<String>,
}

impl Filter {
    /// Creates the filter of a command line.
    ///
    /// Returns a failure if a filter is given for a collection other than jobs.
    pub fn new(collection: Collection, matches: &ArgMatches) -> Result<Self, Failure> {
        let value_of = |name: &str| matches.get_one::<String>(name).cloned();
        let filter = Self {
            workspace: value_of("workspace"),
            kind: value_of("kind-of-work"),
            domain: value_of("domain"),
        };
        let values = [&filter.workspace, &filter.kind, &filter.domain];
        if collection == Collection::Jobs || values.iter().all(|value| value.is_none()) {
            return Ok(filter);
        }
        let message =
            format!("--workspace, --kind-of-work and --domain are for jobs, not {collection}");
        Err(Failure::Usage(message))
    }

    /// Returns the query parameters for the part of the filter that entries apply.
    pub fn query(&self) -> String {
        let workspace = self.workspace.as_ref();
        workspace.map_or_else(String::new, |name| format!("&workspace={name}"))
    }

    /// Reports whether a job passes the part of the filter that entries don't apply.
    pub fn accepts(&self, job: &Value) -> bool {
        let kind = self.kind.as_ref();
        let domain = self.domain.as_ref();
        let domains = job["status"]["domains"].as_array();
        kind.is_none_or(|kind| job["spec"]["kind"] == **kind)
            && domain.is_none_or(|domain| {
                domains.is_some_and(|list| list.iter().any(|item| item == domain))
            })
    }
}
