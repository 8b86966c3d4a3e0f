//! A small deployment of real processes on loopback.

mod folder;
mod process;
mod wait;

pub use folder::*;
pub use process::*;
pub use wait::*;
