//! Decisions for one request: admission, deadlines, retry budgets, placement and weighted splits.
//!
//! Sans-IO: every decision takes the time as an argument. The daemon calls these types from its
//! traffic thread; a program that embeds the router does the same. Each file is headed by the load
//! pattern that it answers.

mod process;
mod request;

pub use process::*;
pub use request::*;

/// The types that most programs need.
pub mod prelude {
    pub use crate::{
        Admission, AdmissionLimits, Class, Deadline, TargetSelector, WeightedSplit,
        WindowedRetryBudget,
    };
}
