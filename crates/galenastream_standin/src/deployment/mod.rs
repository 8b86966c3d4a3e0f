//! A small deployment of real processes on loopback.

mod folder;
mod process;
mod programs;
mod vm;
mod wait;

pub use folder::*;
pub use process::*;
pub use programs::*;
pub use vm::*;
pub use wait::*;
