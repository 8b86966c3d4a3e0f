//! Balances the load of a cell: which slices to move, split and merge, and when not to.

mod churn_budget;
mod plan;
mod planned_change;
mod policy;
mod slice_loads;
mod weights;

use churn_budget::*;
use plan::*;
use slice_loads::*;

pub use planned_change::*;
pub use policy::*;
pub use weights::*;
