//! The arguments.

use std::net::{SocketAddr, SocketAddrV4};

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
             `settings` talks to the platform, where the settings live. The other commands talk to \
             the admin address of a node; any node of the service will do.",
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
        .subcommand(settings())
        .subcommand(cells())
        .subcommand(owner())
        .subcommand(targets())
        .subcommand(drain())
        .subcommand(move_key())
        .subcommand(cell())
}

fn settings() -> Command {
    Command::new("settings")
        .about("Checks, compares, applies, shows and explains the tree of settings")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about("Checks a file without talking to the platform")
                .arg(file()),
        )
        .subcommand(
            with_platform(Command::new("diff"))
                .about("Shows what applying a file would change, and whether it would be refused")
                .arg(file())
                .arg(stopped()),
        )
        .subcommand(
            with_platform(Command::new("apply"))
                .about("Makes a file the next version, or changes nothing")
                .long_about(
                    "Makes a file the next version, or changes nothing.\n\n\
                     The file is checked first. An entry of the version in force that is missing \
                     from the file is an error unless the file's `removed` list names it, and so \
                     is removing a service, or changing its leases and the like, while it runs. The \
                     write succeeds only if no other operator applied a version since the version \
                     in force was read; otherwise the command ends with code 3 and names both \
                     versions.",
                )
                .arg(file())
                .arg(stopped())
                .arg(
                    Arg::new("expect")
                        .long("expect")
                        .value_name("VERSION")
                        .value_parser(value_parser!(u64))
                        .help("Refuse unless this version is in force; 0 if there is none yet"),
                ),
        )
        .subcommand(
            with_platform(Command::new("show")).about("Prints the version in force").arg(
                Arg::new("version")
                    .long("version")
                    .value_name("VERSION")
                    .value_parser(value_parser!(u64))
                    .help("Refuse unless this version is in force"),
            ),
        )
        .subcommand(
            Command::new("explain")
                .args([
                    table_address().required_unless_present("file"),
                    object_address().required_unless_present("file"),
                ])
                .about("Shows each value of a request and the level it came from")
                .arg(service())
                .arg(Arg::new("place").long("place").value_name("PLACE").help("A place's name"))
                .arg(Arg::new("key").long("key").value_name("KEY").help("A key"))
                .arg(
                    Arg::new("file")
                        .long("file")
                        .value_name("FILE")
                        .help("Explain this file rather than the version in force"),
                ),
        )
}

fn cells() -> Command {
    with_node(Command::new("cells"))
        .about("Lists the cells that a node knows: term, coordinator, witnesses, slices")
}

fn owner() -> Command {
    with_node(Command::new("owner"))
        .about("Shows which VM owns a key")
        .arg(Arg::new("key").value_name("KEY").required(true).help("The key"))
        .arg(service())
}

fn targets() -> Command {
    with_node(Command::new("targets"))
        .about("Lists the targets that a node knows: slots, slices, and whether they drain")
}

fn drain() -> Command {
    with_node(Command::new("drain"))
        .about("Takes a target out of service: hands its keys over, then gives it no new work")
        .long_about(
            "Takes a target out of service: hands its keys over, then gives it no new work. What \
             is in progress is finished.\n\n--node must be the node beside the target.",
        )
        .arg(
            Arg::new("target")
                .value_name("TARGET")
                .required(true)
                .value_parser(value_parser!(SocketAddrV4))
                .help("The address of the target's VM, as `targets` prints it"),
        )
}

fn move_key() -> Command {
    with_node(Command::new("move"))
        .about("Moves the slice of a key to another target, as a planned handoff")
        .long_about(
            "Moves the slice of a key to another target, as a planned handoff: the old owner \
             finishes what is in progress, then the new one takes over.\n\n\
             --node must be the coordinator of the cell, which `galenastreamctl cells` names.",
        )
        .arg(Arg::new("key").value_name("KEY").required(true).help("The key"))
        .arg(
            Arg::new("to")
                .value_name("TO")
                .required(true)
                .value_parser(value_parser!(SocketAddrV4))
                .help("The address of the new owner's VM, as `targets` prints it"),
        )
        .arg(service())
}

fn cell() -> Command {
    Command::new("cell")
        .about("Steers a whole cell")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            with_node(Command::new("takeover"))
                .about("Makes a node the coordinator of its cell although too few witnesses answer")
                .long_about(TAKEOVER)
                .arg(service())
                .arg(
                    Arg::new("yes")
                        .long("yes")
                        .action(ArgAction::SetTrue)
                        .help("Confirm that the missing VMs are gone for good or stopped"),
                ),
        )
}

/// What `cell takeover` does.
pub(crate) const TAKEOVER: &str = "\
Makes a node the coordinator of its cell although too few witnesses answer.

Use it only after the loss of more than one place, and only when you are sure that the old \
coordinator and its witnesses are stopped or cut off for good. The node takes the next term in the \
platform's table, waits until every lease that the old coordinator may have granted has run out, \
and then assigns the keys of lost VMs anew. The node logs the takeover.";

fn file() -> Arg {
    Arg::new("file").value_name("FILE").required(true).help("A tree of settings in TOML")
}

fn stopped() -> Arg {
    Arg::new("stopped")
        .long("stopped")
        .value_name("SERVICE")
        .action(ArgAction::Append)
        .help("Every node of this service is stopped: it may be removed, and its leases may change")
}

fn service() -> Arg {
    Arg::new("service")
        .long("service")
        .value_name("SERVICE")
        .required(true)
        .help("A service's name")
}

fn with_platform(command: Command) -> Command {
    command.args([table_address().required(true), object_address().required(true)])
}

fn table_address() -> Arg {
    Arg::new("table_address")
        .long("table-address")
        .value_name("IP:PORT")
        .env("GALENASTREAM_TABLE_ADDRESS")
        .value_parser(value_parser!(SocketAddr))
        .help("Where the platform's table service listens")
}

fn object_address() -> Arg {
    Arg::new("object_address")
        .long("object-address")
        .value_name("IP:PORT")
        .env("GALENASTREAM_OBJECT_ADDRESS")
        .value_parser(value_parser!(SocketAddr))
        .help("Where the platform's object store listens")
}

fn with_node(command: Command) -> Command {
    command.arg(
        Arg::new("node")
            .long("node")
            .value_name("IP:PORT")
            .env("GALENASTREAM_NODE")
            .value_parser(value_parser!(SocketAddr))
            .required(true)
            .help("The admin address of a node"),
    )
}
