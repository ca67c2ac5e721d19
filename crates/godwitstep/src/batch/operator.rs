//! Current policy and orders of the operators, built from their stream.
//!
//! ```
//! use godwitstep::batch::operator::{OperatorRecord, OperatorState};
//! use godwitstep_batch::policy::Policy;
//!
//! let mut operator = OperatorState::default();
//! operator.apply(OperatorRecord::SetPolicy(Policy { version: 7, ..Policy::default() }));
//! operator.apply(OperatorRecord::SetPolicy(Policy { version: 5, ..Policy::default() }));
//! assert_eq!(operator.policy().map(|policy| policy.version), Some(7));
//! ```

use godwitstep_batch::id::Domain;
use godwitstep_batch::policy::Policy;
use std::collections::BTreeSet;
use std::rc::Rc;

/// A decoded record of the operators' stream.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorRecord {
    /// A new version of the policy.
    SetPolicy(Policy),
    /// Takes a failure domain out of service.
    TakeOutOfService(Domain),
    /// Returns a failure domain to service.
    ReturnToService(Domain),
}

/// The newest policy, and the failure domains that are out of service.
#[derive(Debug, Default)]
pub struct OperatorState {
    /// Newest policy. Older versions never replace it.
    policy: Option<Rc<Policy>>,
    domains_out: Rc<BTreeSet<Domain>>,
}

impl OperatorState {
    /// Applies a record. Returns whether it changed the state.
    pub fn apply(&mut self, record: OperatorRecord) -> bool {
        match record {
            OperatorRecord::SetPolicy(policy) => {
                let newer = self
                    .policy
                    .as_ref()
                    .is_none_or(|own| policy.version > own.version);
                if newer {
                    self.policy = Some(Rc::new(policy));
                }
                newer
            }
            OperatorRecord::TakeOutOfService(domain) => {
                Rc::make_mut(&mut self.domains_out).insert(domain)
            }
            OperatorRecord::ReturnToService(domain) => {
                Rc::make_mut(&mut self.domains_out).remove(&domain)
            }
        }
    }

    /// Replaces the set of failure domains that are out of service, after all newest records have been reloaded.
    pub fn replace_domains_out(&mut self, out: BTreeSet<Domain>) {
        self.domains_out = Rc::new(out);
    }

    /// Returns the newest policy.
    #[must_use]
    pub const fn policy(&self) -> Option<&Rc<Policy>> {
        self.policy.as_ref()
    }

    /// Returns the failure domains that are out of service.
    #[must_use]
    pub const fn domains_out(&self) -> &Rc<BTreeSet<Domain>> {
        &self.domains_out
    }
}
