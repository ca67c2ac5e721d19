//! Query parameters of the operator API.

use super::reply::Refusal;
use godwitstep_core::id::Version;
use godwitstep_core::resource::Fault;

/// Page size of a list if the request sets no `limit`.
const DEFAULT_LIMIT: usize = 1_000;
/// Maximum page size. Larger pages would block the entry's only thread for too long.
const MAX_LIMIT: usize = 5_000;

/// Parsed query parameters of one request.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Query {
    pub(super) watch: bool,
    pub(super) from: Option<Version>,
    pub(super) dry_run: bool,
    pub(super) workspace: Option<String>,
    pub(super) after: Option<String>,
    pub(super) limit: usize,
}

impl Query {
    /// Parses a query string (the part after `?`) and reports all its faults together.
    pub(super) fn read(text: &str) -> Result<Self, Refusal> {
        let mut query = Self {
            watch: false,
            from: None,
            dry_run: false,
            workspace: None,
            after: None,
            limit: DEFAULT_LIMIT,
        };
        let mut faults = Vec::new();
        for pair in text.split('&').filter(|pair| !pair.is_empty()) {
            let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
            if let Err(allowed) = query.set(key, value) {
                faults.push(Fault::new(
                    format!("query.{key}"),
                    format!("{value:?}"),
                    allowed,
                ));
            }
        }
        if faults.is_empty() {
            Ok(query)
        } else {
            Err(Refusal::bad_request("the query has faults").faults(faults))
        }
    }

    fn set(&mut self, key: &str, value: &str) -> Result<(), String> {
        match key {
            "watch" => self.watch = parse_bool(value)?,
            "dry_run" => self.dry_run = parse_bool(value)?,
            "from" => {
                let version = value.parse().map_err(|_| "a version, a whole number")?;
                self.from = Some(version);
            }
            "workspace" => self.workspace = Some(value.to_owned()),
            "after" => self.after = Some(value.to_owned()),
            "limit" => {
                self.limit = value
                    .parse()
                    .ok()
                    .filter(|limit| (1..=MAX_LIMIT).contains(limit))
                    .ok_or_else(|| format!("1 to {MAX_LIMIT}"))?;
            }
            _ => return Err("watch, from, dry_run, workspace, after, limit".to_owned()),
        }
        Ok(())
    }
}

fn parse_bool(value: &str) -> Result<bool, String> {
    value.parse().map_err(|_| "true or false".to_owned())
}
