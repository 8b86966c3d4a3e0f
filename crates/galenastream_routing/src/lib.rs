//! Decisions for one request: admission, deadlines, retries, balance, tickets and shedding.
//!
//! Sans-IO: every decision takes the time as an argument, and randomness where it needs any. The
//! daemon calls these types from its traffic threads; a program that embeds the router does the
//! same.

mod process;
mod request;

pub use process::*;
pub use request::*;

/// The types that most programs need.
pub mod prelude {
    pub use crate::{
        Admission, Breaker, Class, Deadline, NotRunReason, Outcome, RetryBudget, RetryPolicy,
        RouteCache, TicketLedger, UnknownReason,
    };
}
