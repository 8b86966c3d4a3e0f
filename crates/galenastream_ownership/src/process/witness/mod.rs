//! Promises and seals of a witness.

mod promiser;

pub(crate) use promiser::*;
