//! Definition of the command line arguments.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Arg, ArgAction, Command, builder::PossibleValuesParser, value_parser};
use jiff::Timestamp;

use crate::EXIT_CODES;

/// How long a call waits for its answer unless `--timeout-ms` is given.
const DEFAULT_TIMEOUT_MS: &str = "2000";

/// Returns the clap definition of the command line.
pub fn command() -> Command {
    Command::new("galenastreamctl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Inspects a galenastream router and applies its settings")
        .long_about(
            "Inspects a galenastream router and applies its settings.\n\n\
             Settings, the config, key owners and nodes are read from the platform's store; \
             `members` and `evacuation` also query each node, and `route` queries one or two. `trace` \
             and `trace-key` only read log files.",
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
                .help("Human-readable text, or one JSON document for scripts"),
        )
        .arg(
            Arg::new("timeout_ms")
                .long("timeout-ms")
                .value_name("MS")
                .global(true)
                .default_value(DEFAULT_TIMEOUT_MS)
                .value_parser(value_parser!(u64).range(1..=600_000))
                .help("Timeout of each call to the store or to a node, in milliseconds"),
        )
        .subcommand(settings_command())
        .subcommand(config_command())
        .subcommand(ranges_command())
        .subcommand(quarantine_command())
        .subcommand(members_command())
        .subcommand(evacuation_command())
        .subcommand(route_command())
        .subcommand(trace_command())
        .subcommand(trace_key_command())
}

fn settings_command() -> Command {
    Command::new("settings")
        .about("Checks, compares, applies, shows and explains the settings tree")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about("Checks a settings file without contacting the store")
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
                .about("Atomically replaces the settings tree in force with a file")
                .long_about(
                    "Atomically replaces the settings tree in force with a file.\n\n\
                     The file is checked first. An entry of the tree in force that is missing \
                     from the file is an error unless the file's `removed` list names it. The \
                     write succeeds only if no other operator applied a tree since the one in \
                     force was read; otherwise the command ends with code 3 and reports both \
                     versions.",
                )
                .arg(file_argument())
                .arg(store_argument().required(true))
                .arg(
                    Arg::new("expect")
                        .long("expect")
                        .value_name("VERSION")
                        .value_parser(value_parser!(u64))
                        .help(
                            "Fail with code 3 unless this version is in force; 0 means no tree yet",
                        ),
                ),
        )
        .subcommand(
            Command::new("show")
                .about("Prints the settings tree in force")
                .arg(store_argument().required(true)),
        )
        .subcommand(
            Command::new("explain")
                .about("Shows the value of each setting and the level that sets it")
                .arg(store_argument().required_unless_present("file"))
                .arg(service_argument().required(true))
                .arg(
                    Arg::new("place")
                        .long("place")
                        .value_name("PLACE")
                        .help("Name of a data centre, to include its overrides"),
                )
                .arg(key_argument())
                .arg(
                    Arg::new("file")
                        .long("file")
                        .value_name("FILE")
                        .help("Settings file to explain instead of the tree in force"),
                ),
        )
}

fn config_command() -> Command {
    let config_file_argument = || {
        Arg::new("file")
            .long("file")
            .value_name("FILE")
            .help("Config file to read instead of the config in the store")
    };
    Command::new("config")
        .about("Checks and explains the config of routes and services")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about("Checks whether nodes would accept a config")
                .arg(store_argument().required_unless_present("file"))
                .arg(config_file_argument()),
        )
        .subcommand(
            Command::new("explain")
                .about(
                    "Shows the route that a request matches, with its timeout, rank and services",
                )
                .arg(store_argument().required_unless_present("file"))
                .arg(config_file_argument())
                .arg(
                    Arg::new("host")
                        .long("host")
                        .value_name("HOST")
                        .required(true)
                        .help("Host of the request"),
                )
                .arg(
                    Arg::new("path")
                        .long("path")
                        .value_name("PATH")
                        .required(true)
                        .help("Path of the request"),
                ),
        )
}

fn ranges_command() -> Command {
    Command::new("ranges")
        .about("Shows the owner and the fencing token of each key range, and pending moves")
        .arg(store_argument().required(true))
        .arg(service_argument().help("Show only this service"))
        .arg(key_argument())
}

fn quarantine_command() -> Command {
    Command::new("quarantine")
        .about("Lists and releases requests that nodes refuse because they crash targets")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("list")
                .about("Lists the requests that are refused, and those that were released")
                .arg(store_argument().required(true)),
        )
        .subcommand(
            Command::new("release")
                .about("Lets a request run again; it is refused anew after three further crashes")
                .arg(
                    Arg::new("fingerprint")
                        .value_name("FINGERPRINT")
                        .required(true)
                        .help("Fingerprint of the request, as `quarantine list` prints it"),
                )
                .arg(store_argument().required(true)),
        )
}

fn members_command() -> Command {
    Command::new("members")
        .about(
            "Lists the nodes with their target, versions in force, roles, leases and drain state",
        )
        .arg(store_argument().required(true))
}

fn evacuation_command() -> Command {
    Command::new("evacuation")
        .about(
            "Shows which data centres are evacuated, who knows, and what their targets still hold",
        )
        .arg(store_argument().required(true))
}

fn route_command() -> Command {
    let argument =
        |name: &'static str, value: &'static str| Arg::new(name).long(name).value_name(value);
    Command::new("route")
        .about("Explains where a request would go now, and why, without sending it")
        .long_about(
            "Explains where a request would go now, and why, without sending it: the route and the \
             version of the config, the owner of the key or the candidates with the latency that is \
             expected there and the age of what is known, and the admission that the request would \
             meet beside the chosen target, if --store is given.",
        )
        .arg(
            argument("node", "IP:PORT")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("Address of the node that takes the request from its caller, as in `members`"),
        )
        .arg(argument("method", "METHOD").default_value("GET").help("Method of the request"))
        .arg(argument("host", "HOST").required(true).help("Host of the request"))
        .arg(argument("path", "PATH").required(true).help("Path of the request"))
        .arg(key_argument())
        .arg(
            Arg::new("deadline_ms")
                .long("deadline-ms")
                .value_name("MS")
                .value_parser(value_parser!(u32))
                .help("How long the caller waits, in milliseconds"),
        )
        .arg(store_argument())
}

fn trace_command() -> Command {
    Command::new("trace")
        .about("Traces a request by its id through the logs of nodes")
        .arg(
            Arg::new("request_id")
                .value_name("REQUEST_ID")
                .required(true)
                .help("Id of the request"),
        )
        .arg(logs_argument())
}

fn trace_key_command() -> Command {
    Command::new("trace-key")
        .about("Lists who held a key, by the logs of nodes")
        .long_about(
            "Lists who held a key, by the logs of nodes: the leases that were granted on it, the \
             changes of its owner with the proof that the holder before had ended, and holds of \
             two targets that overlap. Times are those of the logs, so the order of lines of \
             several VMs is only as accurate as their clocks.",
        )
        .arg(service_argument().required(true))
        .arg(key_argument().required(true))
        .arg(
            Arg::new("at")
                .long("at")
                .value_name("TIME")
                .value_parser(value_parser!(Timestamp))
                .help("Show only the leases at this instant, such as 2026-12-04T10:00:02.5Z"),
        )
        .arg(logs_argument())
}

fn logs_argument() -> Arg {
    Arg::new("logs")
        .value_name("LOG")
        .required(true)
        .action(ArgAction::Append)
        .num_args(1..)
        .value_parser(value_parser!(PathBuf))
        .help("Log files of nodes, with one JSON object per line")
}

fn file_argument() -> Arg {
    Arg::new("file").value_name("FILE").required(true).help("Settings tree, in TOML")
}

fn service_argument() -> Arg {
    Arg::new("service").long("service").value_name("SERVICE").help("Name of a service")
}

fn key_argument() -> Arg {
    Arg::new("key")
        .long("key")
        .value_name("KEY")
        .value_parser(value_parser!(u16))
        .help("Key, from 0 to 65535")
}

fn store_argument() -> Arg {
    Arg::new("store")
        .long("store")
        .value_name("IP:PORT")
        .env("GALENASTREAM_STORE")
        .value_parser(value_parser!(SocketAddr))
        .help("Address of the platform's store")
}
