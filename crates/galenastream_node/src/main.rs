//! The `galenastreamd` program.

use std::process::ExitCode;

use galenastream_node::prelude::*;

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
    match &command_line.deployment {
        Deployment::Standalone { settings } => {
            start_log(&command_line.log, LogStream::Stderr)?;
            run_daemon(&Bootstrap::load(settings)?)
        }
        Deployment::Platform { settings } => {
            start_log(&command_line.log, LogStream::Stdout)?;
            galenastream_mesh::run_daemon(settings)
        }
    }
}
