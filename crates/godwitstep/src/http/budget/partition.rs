//! Division of a process's memory and descriptors among its HTTP servers.
//!
//! Answers the load of many callers at once on a host of 120 MB: what callers can make the process hold is fixed
//! before the first of them connects, and agents, other entries, `/ready` and metrics have a part that callers cannot
//! take. The remaining half of the memory belongs to the process itself: one half of it to accepted jobs, which callers
//! fill as well, the other to the program and the buffers of the log and the kernel.

/// Part of the memory that is available to callers, as a divisor. A process with many jobs takes up to 60 MB of the
/// smallest host's 120 MB.
const CALLERS_DIVISOR: usize = 3;
/// Part of the memory that is reserved for the process's own requests, as a divisor.
const RESERVED_DIVISOR: usize = 6;
/// Part of the memory for accepted jobs, as a divisor. The smallest host's 30 MB hold 150,000 tasks.
const JOBS_DIVISOR: usize = 4;
/// Minimum of the callers' part: connections, and one body of 1 MiB beside ordinary requests. Unit: bytes.
const MIN_CALLERS: usize = 6 << 20;
/// Maximum of the callers' part. 4,096 connections with bodies of 262,144 bytes need no more. Unit: bytes.
const MAX_CALLERS: usize = 1 << 30;
/// Minimum of the bodies in the reserved part: a registration or report of 4 MiB beside ordinary requests. Unit: bytes.
const MIN_RESERVED_BODIES: usize = 6 << 20;
/// Maximum of the reserved part. Unit: bytes.
const MAX_RESERVED: usize = 256 << 20;
/// Memory of a caller's connection, by which the number of connections is limited. Unit: bytes.
///
/// Measured in a release build: 28 KiB for an idle connection (hyper's buffers and state, and the task) and 36 KiB for
/// one with a head that does not end. The kernel's receive buffer (up to 32 KiB, if a client sends ahead of its
/// response) is not included; the half of the memory that is not divided covers it.
pub const CALLER_CONNECTION: usize = 40 * 1024;
/// Memory of a connection of an agent or another entry, which sends complete requests. Unit: bytes.
pub const RESERVED_CONNECTION: usize = 16 * 1024;
/// Maximum number of connections of one server.
const MAX_CONNECTIONS: usize = 4_096;
/// Minimum number of connections of one server, whatever the limits of the host are.
const MIN_CONNECTIONS: usize = 16;
/// Part of the descriptors for callers' connections, as a divisor. A quarter remains for the log, the clients of
/// agents and workers, and the small servers.
const CALLERS_FILES_DIVISOR: usize = 2;
/// Part of the descriptors for connections of agents and other entries, as a divisor.
const RESERVED_FILES_DIVISOR: usize = 4;

/// Limits of what a process may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Resources {
    /// Memory of the process. Unit: bytes.
    pub memory: usize,
    /// Number of descriptors that the process may have open.
    pub files: usize,
}

/// Limits of one group of servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Maximum number of connections of one server of the group.
    pub connections: usize,
    /// Maximum memory of all request bodies of the group. Unit: bytes.
    pub bodies: usize,
}

/// Limits of all servers of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Partition {
    /// Servers of callers, who are not trusted.
    pub callers: Share,
    /// Servers of agents, workers, other entries and operators.
    pub reserved: Share,
    /// Maximum memory of the accepted jobs. Unit: bytes.
    pub jobs: usize,
}

impl Partition {
    /// Divides the resources of a process. The sum of all parts is at most three quarters of the memory, except on machines
    /// of less than 72 MiB, where the minimums apply.
    #[must_use]
    pub fn new(resources: Resources) -> Self {
        let Resources { memory, files } = resources;
        let callers = (memory / CALLERS_DIVISOR).clamp(MIN_CALLERS, MAX_CALLERS);
        let reserved = (memory / RESERVED_DIVISOR).min(MAX_RESERVED);
        let connections = |memory: usize, each: usize, files: usize| {
            (memory / each)
                .min(files)
                .clamp(MIN_CONNECTIONS, MAX_CONNECTIONS)
        };
        Self {
            callers: Share {
                connections: connections(
                    callers / 2,
                    CALLER_CONNECTION,
                    files / CALLERS_FILES_DIVISOR,
                ),
                bodies: callers / 2,
            },
            reserved: Share {
                connections: connections(
                    reserved / 2,
                    RESERVED_CONNECTION,
                    files / RESERVED_FILES_DIVISOR,
                ),
                bodies: (reserved / 2).max(MIN_RESERVED_BODIES),
            },
            jobs: memory / JOBS_DIVISOR,
        }
    }

    /// Returns a partition that limits nothing but the number of connections, as servers without a budget have it.
    #[must_use]
    pub const fn unlimited() -> Self {
        let share = Share {
            connections: MAX_CONNECTIONS,
            bodies: usize::MAX / 4,
        };
        Self {
            callers: share,
            reserved: share,
            jobs: usize::MAX / 4,
        }
    }
}
