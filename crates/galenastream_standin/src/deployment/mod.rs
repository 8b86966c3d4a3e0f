//! A small deployment of real processes on loopback.

mod folder;
mod free_address;
mod local_deployment;
mod process;
mod programs;
mod vm;
mod wait;

pub use folder::*;
pub use free_address::*;
pub use local_deployment::*;
pub use process::*;
pub use programs::*;
pub use vm::*;
pub use wait::*;
