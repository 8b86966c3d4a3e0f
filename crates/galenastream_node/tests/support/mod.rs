//! Deployments of real processes for the process tests.

#![allow(dead_code, unused_imports, reason = "each test program uses a part of it")]

mod cluster;
mod reads;
mod reservations;

pub use cluster::*;
pub use reads::*;
pub use reservations::*;
