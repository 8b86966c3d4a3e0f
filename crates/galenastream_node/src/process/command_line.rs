//! The command line of `galenastreamd`.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};

/// Runs a node of a deployment on the platform.
const PLATFORM_COMMAND: &str = "platform";

/// What the command line asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandLine {
    /// The kind of deployment.
    pub deployment: Deployment,
    /// The filter of log events.
    pub log: String,
}

/// The kind of deployment that a process belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Deployment {
    /// One that the operator describes in a bootstrap file.
    Standalone {
        /// The bootstrap file.
        settings: PathBuf,
    },
    /// One on the platform, which hands a settings file to each process.
    Platform {
        /// The settings file.
        settings: PathBuf,
    },
}

impl CommandLine {
    /// Reads the arguments of the process. Ends the process on `--help` and on errors.
    pub fn parse() -> Self {
        let matches = command().get_matches();
        let log = matches.get_one::<String>("log").cloned().unwrap_or_default();
        let deployment = match matches.subcommand() {
            Some((PLATFORM_COMMAND, given)) => Deployment::Platform { settings: path_of(given) },
            _ => Deployment::Standalone { settings: path_of(&matches) },
        };
        Self { deployment, log }
    }
}

fn path_of(matches: &ArgMatches) -> PathBuf {
    matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default()
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
                .global(true)
                .help("Log events to write: error, warn, info, debug, or a list of target=level"),
        )
        .subcommand_negates_reqs(true)
        .subcommand(
            Command::new(PLATFORM_COMMAND)
                .about("Runs a node of a deployment on the platform")
                .arg(
                    Arg::new("settings")
                        .long("settings")
                        .value_name("FILE")
                        .env("GALENASTREAM_CONFIG")
                        .required(true)
                        .value_parser(value_parser!(PathBuf))
                        .help("settings file that the platform hands to the process"),
                ),
        )
}
