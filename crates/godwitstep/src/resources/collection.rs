//! Collections of resources.

use godwitstep_core::registry::{Change, Stream};
use std::fmt;
use std::str::FromStr;

/// One of the collections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Collection {
    /// Failure domains.
    Domains,
    /// Workspaces.
    Workspaces,
    /// Jobs of the region.
    Jobs,
}

impl Collection {
    /// All collections, in the order in which a set of new resources is declared.
    pub const ALL: [Self; 3] = [Self::Domains, Self::Workspaces, Self::Jobs];

    /// Returns the name in paths.
    #[must_use]
    pub const fn plural(self) -> &'static str {
        match self {
            Self::Domains => "domains",
            Self::Workspaces => "workspaces",
            Self::Jobs => "jobs",
        }
    }

    /// Returns the name of one resource's kind, as in resource files.
    #[must_use]
    pub const fn singular(self) -> &'static str {
        match self {
            Self::Domains => "domain",
            Self::Workspaces => "workspace",
            Self::Jobs => "job",
        }
    }

    /// Returns the stream that holds the collection.
    #[must_use]
    pub const fn stream(self) -> Stream {
        match self {
            Self::Domains | Self::Workspaces => Stream::Config,
            Self::Jobs => Stream::Jobs,
        }
    }

    /// Reports whether a change is about a resource of the collection.
    #[must_use]
    pub const fn holds(self, change: &Change) -> bool {
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

/// The text names no collection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not one of domains, workspaces, jobs")]
pub struct UnknownCollection;

impl FromStr for Collection {
    type Err = UnknownCollection;

    /// Accepts the plural and the singular.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|collection| [collection.plural(), collection.singular()].contains(&text))
            .ok_or(UnknownCollection)
    }
}
