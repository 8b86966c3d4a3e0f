//! The `galenastreamd` program.

use std::process::ExitCode;

use galenastream_node::{CommandLine, flush_log, run_daemon, start_log};

fn main() -> ExitCode {
    let command_line = CommandLine::parse();
    match run(&command_line) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("galenastreamd: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(command_line: &CommandLine) -> anyhow::Result<()> {
    start_log(&command_line.log)?;
    let result = run_daemon(&command_line.settings);
    flush_log();
    result
}
