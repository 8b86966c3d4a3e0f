//! A caller of the router.

mod answer;
mod client;

pub use answer::*;
pub use client::*;
