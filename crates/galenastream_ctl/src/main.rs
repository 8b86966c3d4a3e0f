//! The `galenastreamctl` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    galenastream_ctl::run(std::env::args_os())
}
