//! Identifiers: small `Copy` types that name VMs, places, services, cells and slices.

mod cell;
mod member;
mod name;
mod number;
mod vm;

pub use cell::*;
pub use member::*;
pub use name::*;
pub use number::*;
pub use vm::*;
