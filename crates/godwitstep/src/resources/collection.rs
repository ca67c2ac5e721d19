//! Resource collections of the operator API and the log streams that store them.

use godwitstep_core::registry::{Change, Stream};
use std::fmt;
use std::str::FromStr;

/// Set of resources of one kind, addressed as `/v1/{collection}`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Collection {
    /// Failure domains and whether they are in service.
    Domains,
    /// Workspaces with their kinds of work and guarantees.
    Workspaces,
    /// Batch jobs of the region.
    Jobs,
}

impl Collection {
    /// All collections, in the order in which a set of new resources is declared.
    pub const ALL: [Self; 3] = [Self::Domains, Self::Workspaces, Self::Jobs];

    /// Returns the plural name, as in request paths.
    #[must_use]
    pub const fn plural(self) -> &'static str {
        match self {
            Self::Domains => "domains",
            Self::Workspaces => "workspaces",
            Self::Jobs => "jobs",
        }
    }

    /// Returns the singular name, the `kind` of a resource document.
    #[must_use]
    pub const fn singular(self) -> &'static str {
        match self {
            Self::Domains => "domain",
            Self::Workspaces => "workspace",
            Self::Jobs => "job",
        }
    }

    /// Returns the log stream that stores the collection.
    #[must_use]
    pub const fn stream(self) -> Stream {
        match self {
            Self::Domains | Self::Workspaces => Stream::Config,
            Self::Jobs => Stream::Jobs,
        }
    }

    /// Reports whether a change affects a resource of the collection.
    #[must_use]
    pub const fn includes(self, change: &Change) -> bool {
        matches!(
            (self, change),
            (Self::Domains, Change::Domain { .. })
                | (Self::Workspaces, Change::Workspace { .. })
                | (Self::Jobs, Change::Job { .. })
        )
    }
}

impl fmt::Display for Collection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.plural())
    }
}

/// The text is not the name of a collection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not one of domains, workspaces, jobs")]
pub struct UnknownCollection;

impl FromStr for Collection {
    type Err = UnknownCollection;

    /// Parses the plural or the singular name.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|collection| [collection.plural(), collection.singular()].contains(&text))
            .ok_or(UnknownCollection)
    }
}
