//! What operators declare and order, folded from their stream.
//!
//! ```
//! use godwitstep::batch::operator::{Operator, Order};
//! use godwitstep_batch::policy::Policy;
//!
//! let mut operator = Operator::default();
//! operator.apply(Order::Declare(Policy { version: 7, ..Policy::default() }));
//! operator.apply(Order::Declare(Policy { version: 5, ..Policy::default() }));
//! assert_eq!(operator.policy().map(|policy| policy.version), Some(7));
//! ```

use godwitstep_batch::id::Domain;
use godwitstep_batch::policy::Policy;
use std::collections::BTreeSet;
use std::rc::Rc;

/// One record of the operators.
#[derive(Debug, Clone, PartialEq)]
pub enum Order {
    /// A version of everything declared.
    Declare(Policy),
    /// A failure domain is taken out of service.
    TakeOut(Domain),
    /// A failure domain is back in service.
    BringBack(Domain),
}

/// The newest of everything.
#[derive(Debug, Default)]
pub struct Operator {
    /// Never goes back to an older version.
    policy: Option<Rc<Policy>>,
    out: Rc<BTreeSet<Domain>>,
}

impl Operator {
    /// Applies a record. Returns whether it changes anything.
    pub fn apply(&mut self, order: Order) -> bool {
        match order {
            Order::Declare(policy) => {
                let newer = self
                    .policy
                    .as_ref()
                    .is_none_or(|own| policy.version > own.version);
                if newer {
                    self.policy = Some(Rc::new(policy));
                }
                newer
            }
            Order::TakeOut(domain) => Rc::make_mut(&mut self.out).insert(domain),
            Order::BringBack(domain) => Rc::make_mut(&mut self.out).remove(&domain),
        }
    }

    /// Replaces the failure domains that are out of service, after all newest records were read
    /// again.
    pub fn replace_out_of_service(&mut self, out: BTreeSet<Domain>) {
        self.out = Rc::new(out);
    }

    /// Returns the newest policy.
    #[must_use]
    pub const fn policy(&self) -> Option<&Rc<Policy>> {
        self.policy.as_ref()
    }

    /// Returns the failure domains that are out of service.
    #[must_use]
    pub const fn out(&self) -> &Rc<BTreeSet<Domain>> {
        &self.out
    }
}
