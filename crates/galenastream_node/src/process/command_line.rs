//! The command line of `galenastreamd`.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};

/// The parsed command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandLine {
    /// The path of the settings file that the platform provides.
    pub settings: PathBuf,
    /// The filter of log events: a level, or a list of `target=level`.
    pub log: String,
}

impl CommandLine {
    /// Parses the arguments of the process. Exits the process on `--help`, `--version` and errors.
    pub fn parse() -> Self {
        Self::read(&command().get_matches())
    }

    fn read(matches: &ArgMatches) -> Self {
        Self {
            settings: matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default(),
            log: matches.get_one::<String>("log").cloned().unwrap_or_default(),
        }
    }
}

/// The definition of the command line.
pub fn command() -> Command {
    Command::new("galenastreamd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Routes requests to the one target that is entitled to their key")
        .long_about(
            "Runs beside a target server. Takes the requests of the callers on its VM, sends each \
             to the node whose target holds the key, and is the only path into its own target.\n\n\
             Exit codes: 0 after a graceful stop by SIGTERM or SIGINT, 1 on a failure, 2 when an \
             argument is wrong.",
        )
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .env("GALENASTREAM_CONFIG")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings file that the platform hands to the process"),
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
