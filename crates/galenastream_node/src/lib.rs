//! The process beside each target: the entry for callers and the only path into the target.
//!
//! Decisions are made by the sans-IO crates. This crate carries them out: one control thread owns
//! the ownership state, and the traffic threads read what it publishes.

mod connection;
mod process;
mod request;
mod version;

pub use connection::*;
pub use process::*;
pub use request::*;
pub use version::*;

/// The types that most programs need.
pub mod prelude {
    pub use crate::{
        Bootstrap, BootstrapError, CommandLine, Deployment, LogStream, run_daemon, start_log,
    };
}
