//! Decisions for one request: admission, deadlines, retries, balance, tickets and shedding.
//!
//! Sans-IO: every decision takes the time as an argument.

/// The types that most programs need.
pub mod prelude {}
