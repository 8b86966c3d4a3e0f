//! The command line of `galenastreamd`.

use std::path::PathBuf;

use clap::{Arg, Command, value_parser};

/// What the command line asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandLine {
    /// The bootstrap file.
    pub settings: PathBuf,
    /// The filter of log events.
    pub log: String,
}

impl CommandLine {
    /// Reads the arguments of the process. Ends the process on `--help` and on errors.
    pub fn parse() -> Self {
        let matches = command().get_matches();
        let settings = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
        let log = matches.get_one::<String>("log").cloned().unwrap_or_default();
        Self { settings, log }
    }
}

/// The definition of the command line.
pub fn command() -> Command {
    Command::new("galenastreamd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Routes requests to the one target that is entitled to their key")
        .long_about(
            "Runs beside a target server. Takes callers' requests at any node, sends each to the \
             node whose target holds the key, and is the only path into its own target.\n\n\
             Exit codes: 0 after a graceful stop by SIGTERM or SIGINT, 1 on a failure, 2 when an \
             argument is wrong.",
        )
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("TOML file with the addresses, the place and the service of this process"),
        )
        .arg(
            Arg::new("log")
                .long("log")
                .value_name("FILTER")
                .env("GALENASTREAM_LOG")
                .default_value("info")
                .help("Log events to write: error, warn, info, debug, or a list of target=level"),
        )
}
