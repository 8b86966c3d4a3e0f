//! Decisions for one request: admission, deadlines, retry budgets, target selection and weighted
//! splits.
//!
//! The crate is sans-IO: every decision takes the current time as an argument. The daemon calls
//! these types from its traffic thread; a program that embeds the router calls them from its own.
//! The documentation of a module or function names the load pattern that it is built for.

mod connection;
mod process;
mod request;

pub use connection::*;
pub use process::*;
pub use request::*;

/// The types that most programs use.
pub mod prelude {
    pub use crate::{
        Admission, AdmissionLimits, Class, Deadline, TargetSelector, WeightedSplit,
        WindowedRetryBudget,
    };
}
