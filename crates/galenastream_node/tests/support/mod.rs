//! Deployments of real processes for the process tests.

#![allow(dead_code, unused_imports, reason = "each test program uses a part of it")]
#![allow(clippy::unwrap_used, reason = "a failed step of a test ends the test")]

mod cluster;
mod reads;
mod reservations;
mod serial;

pub use cluster::*;
pub use reads::*;
pub use reservations::*;
pub use serial::*;
