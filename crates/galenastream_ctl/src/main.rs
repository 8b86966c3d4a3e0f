//! The `galenastreamctl` program.

fn main() {}
