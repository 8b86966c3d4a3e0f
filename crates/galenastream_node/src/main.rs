//! The `galenastreamd` program.

fn main() {}
