//! The arguments.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Arg, ArgAction, Command, builder::PossibleValuesParser, value_parser};

use crate::EXIT_CODES;

/// How long a request waits for its answer unless the operator says otherwise.
const DEFAULT_TIMEOUT_MS: &str = "2000";

/// The command line, as clap's builder describes it.
pub fn command() -> Command {
    Command::new("galenastreamctl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Looks at and steers a galenastream router")
        .long_about(
            "Looks at and steers a galenastream router.\n\n\
             Settings, owners and nodes are read from the platform's store; `members` also asks \
             each node. `trace` reads log files alone.",
        )
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("output")
                .long("output")
                .value_name("FORMAT")
                .global(true)
                .default_value("text")
                .value_parser(PossibleValuesParser::new(["text", "json"]))
                .help("Lines for people, or one JSON document for programs"),
        )
        .arg(
            Arg::new("timeout_ms")
                .long("timeout-ms")
                .value_name("MS")
                .global(true)
                .default_value(DEFAULT_TIMEOUT_MS)
                .value_parser(value_parser!(u64).range(1..=600_000))
                .help("How long to wait for each answer"),
        )
        .subcommand(settings_command())
        .subcommand(config_command())
        .subcommand(ranges_command())
        .subcommand(members_command())
        .subcommand(trace_command())
}

fn settings_command() -> Command {
    Command::new("settings")
        .about("Checks, compares, applies, shows and explains the tree of settings")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about("Checks a file without talking to the store")
                .arg(file_argument()),
        )
        .subcommand(
            Command::new("diff")
                .about("Shows what applying a file would change, and whether it would be refused")
                .arg(file_argument())
                .arg(store_argument().required(true)),
        )
        .subcommand(
            Command::new("apply")
                .about("Makes a file the tree in force, or changes nothing")
                .long_about(
                    "Makes a file the tree in force, or changes nothing.\n\n\
                     The file is checked first. An entry of the tree in force that is missing \
                     from the file is an error unless the file's `removed` list names it. The \
                     write succeeds only if no other operator applied a tree since the one in \
                     force was read; otherwise the command ends with code 3 and names both \
                     versions.",
                )
                .arg(file_argument())
                .arg(store_argument().required(true))
                .arg(
                    Arg::new("expect")
                        .long("expect")
                        .value_name("VERSION")
                        .value_parser(value_parser!(u64))
                        .help("Refuse unless this version is in force; 0 if there is none yet"),
                ),
        )
        .subcommand(
            Command::new("show")
                .about("Prints the tree in force")
                .arg(store_argument().required(true)),
        )
        .subcommand(
            Command::new("explain")
                .about("Shows each value of a request and the level it came from")
                .arg(store_argument().required_unless_present("file"))
                .arg(service_argument().required(true))
                .arg(
                    Arg::new("place")
                        .long("place")
                        .value_name("PLACE")
                        .help("A data centre's name"),
                )
                .arg(key_argument())
                .arg(
                    Arg::new("file")
                        .long("file")
                        .value_name("FILE")
                        .help("Explain this file rather than the tree in force"),
                ),
        )
}

fn config_command() -> Command {
    let config_file_argument = || {
        Arg::new("file")
            .long("file")
            .value_name("FILE")
            .help("Read this file rather than the config in force")
    };
    Command::new("config")
        .about("Checks and explains the config of routes and services")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about("Says whether nodes would put a config in force")
                .arg(store_argument().required_unless_present("file"))
                .arg(config_file_argument()),
        )
        .subcommand(
            Command::new("explain")
                .about("Shows which route has a request, and what it says of it")
                .arg(store_argument().required_unless_present("file"))
                .arg(config_file_argument())
                .arg(
                    Arg::new("host")
                        .long("host")
                        .value_name("HOST")
                        .required(true)
                        .help("The request's host"),
                )
                .arg(
                    Arg::new("path")
                        .long("path")
                        .value_name("PATH")
                        .required(true)
                        .help("The request's path"),
                ),
        )
}

fn ranges_command() -> Command {
    Command::new("ranges")
        .about("Shows which target owns which keys, under which fencing token, and what moves")
        .arg(store_argument().required(true))
        .arg(service_argument().help("This service alone"))
        .arg(key_argument())
}

fn members_command() -> Command {
    Command::new("members")
        .about("Lists the nodes: target, config and settings in force, roles, leases, drain state")
        .arg(store_argument().required(true))
}

fn trace_command() -> Command {
    Command::new("trace")
        .about("Follows a request by its id through the logs of nodes")
        .arg(
            Arg::new("request_id").value_name("REQUEST_ID").required(true).help("The request's id"),
        )
        .arg(
            Arg::new("logs")
                .value_name("LOG")
                .required(true)
                .action(ArgAction::Append)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf))
                .help("Log files of nodes, one JSON object a line"),
        )
}

fn file_argument() -> Arg {
    Arg::new("file").value_name("FILE").required(true).help("A tree of settings in TOML")
}

fn service_argument() -> Arg {
    Arg::new("service").long("service").value_name("SERVICE").help("A service's name")
}

fn key_argument() -> Arg {
    Arg::new("key")
        .long("key")
        .value_name("KEY")
        .value_parser(value_parser!(u16))
        .help("A key, from 0 to 65535")
}

fn store_argument() -> Arg {
    Arg::new("store")
        .long("store")
        .value_name("IP:PORT")
        .env("GALENASTREAM_STORE")
        .value_parser(value_parser!(SocketAddr))
        .help("Where the platform's store listens")
}
