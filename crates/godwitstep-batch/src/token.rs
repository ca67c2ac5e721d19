//! Fencing tokens of the calls that agents make to their workers.
//!
//! A worker ignores a call whose token is below the highest one that it has received; a worker that has restarted has
//! received none. Late copies of calls are fenced off by the first call with a higher token. Tokens are ordered by the
//! decider's epoch, then by the agent's process, then by the incarnations of the worker that the process has called:
//!
//! * Epochs are at least [`TOKENS_PER_EPOCH`] apart ([`crate::claim::next_epoch`]).
//! * The decider gives each process of an agent a range of tokens of its own, in the order of their first reports.
//! * The process raises its token whenever its worker may have restarted.
//!
//! Deciders of earlier versions give no ranges; the token is the epoch then, as it is for agents of earlier versions.
//!
//! ```
//! use godwitstep_batch::token::{Fence, first_token};
//!
//! let mut fence = Fence::default();
//! fence.advance(7 << 20, first_token(7 << 20, 1));
//! let first = fence.token();
//! fence.raise();
//! assert!(fence.token() > first && fence.token() < first_token(7 << 20, 2));
//! ```

use crate::id::{Epoch, Token};

/// Number of tokens of an epoch, which is itself the first of them.
pub const TOKENS_PER_EPOCH: u64 = 1 << 20;
/// Number of tokens of a process of an agent within an epoch.
const TOKENS_PER_PROCESS: u64 = 1 << 10;
/// Maximum number of a process that has a range of its own; later ones share the last one.
const MAX_PROCESS: u64 = TOKENS_PER_EPOCH / TOKENS_PER_PROCESS - 1;

/// Returns the first token of a process of an agent under an epoch. The decider of the epoch numbers the processes of
/// each host from 1.
#[must_use]
pub const fn first_token(epoch: Epoch, process: u64) -> Token {
    let process = if process < MAX_PROCESS {
        process
    } else {
        MAX_PROCESS
    };
    epoch.saturating_add(process * TOKENS_PER_PROCESS)
}

/// The token of an agent's process. It never falls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Fence {
    token: Token,
    /// Last token of the process's range. Once it is reached, the token stays the same until the next epoch.
    last: Token,
}

impl Fence {
    /// Creates the fence of a process that knows no epoch.
    #[must_use]
    pub const fn new() -> Self {
        Self { token: 0, last: 0 }
    }

    /// Returns the token of the calls that are sent now.
    #[must_use]
    pub const fn token(&self) -> Token {
        self.token
    }

    /// Applies the decider's epoch, and the first token of the process's range; 0 if it is not known.
    pub fn advance(&mut self, epoch: Epoch, first: Token) {
        self.token = self.token.max(epoch);
        let end = epoch.saturating_add(TOKENS_PER_EPOCH);
        if (epoch..end).contains(&first) {
            self.token = self.token.max(first);
            self.last = self.last.max(first + (TOKENS_PER_PROCESS - 1));
        }
    }

    /// Raises the token, because the worker may have restarted: calls that were sent before are fenced off by those that
    /// are sent from now on.
    pub fn raise(&mut self) {
        if self.token < self.last {
            self.token += 1;
        }
    }
}
