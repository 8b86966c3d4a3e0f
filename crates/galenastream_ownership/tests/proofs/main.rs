//! Proofs of the ownership protocol: real nodes over fakes, under virtual time.

mod availability;
mod planted;
mod random;
mod regressions;
mod scenarios;
mod support;
