//! Runs the stand-in of a target until it is killed.

use std::{net::SocketAddr, str::FromStr};

use anyhow::Context;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use galenastream_ownership::FastMap;
use galenastream_standin::{EventOutput, TargetConfig, TargetStandin, wait_for_signal};

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let config = read_config(&command().get_matches())?;
    let target = TargetStandin::start(config).await?;
    println!("listening {}", target.address());
    wait_for_signal().await
}

fn command() -> Command {
    Command::new("target")
        .about("Stand-in of a target. Writes one JSON line for each order to its standard output")
        .arg(option("name", "NAME", "target", "The name in answers and in the log"))
        .arg(option("service", "NAME", "catalogue", "The service"))
        .arg(option("address", "ADDRESS", "127.0.0.1:0", "Where it listens"))
        .arg(
            Arg::new("node").long("node").value_name("ADDRESS").help(
                "The admin address of the node in the same VM; without it nothing is announced",
            ),
        )
        .arg(option("slots", "N", "20", "Orders that it works on at the same time"))
        .arg(option("connections", "N", "120", "Connections that it says it accepts"))
        .arg(option("backlog", "N", "20", "Orders that may wait for a slot before it sheds"))
        .arg(option("service-ms", "MS", "1", "How long an order takes"))
        .arg(
            Arg::new("class-ms")
                .long("class-ms")
                .value_name("CLASS=MS")
                .action(ArgAction::Append)
                .help("How long an order of a class takes; may be repeated"),
        )
        .arg(option("cold-start-ms", "MS", "0", "How long it is slower after its start"))
        .arg(option("load-lag-ms", "MS", "0", "How old the figures of /load are"))
        .arg(flag("check-grants", "Refuse old epochs"))
        .arg(flag("no-events", "Write no events"))
        .after_help(
            "Faults: POST /standin/faults with JSON such as {\"freeze_ms\":1000}; {} ends them. \
             POST /standin/drain asks the node to drain this target.",
        )
}

fn option(
    name: &'static str,
    value_name: &'static str,
    default: &'static str,
    help: &'static str,
) -> Arg {
    Arg::new(name).long(name).value_name(value_name).default_value(default).help(help)
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::SetTrue)
        .value_parser(value_parser!(bool))
        .help(help)
}

fn read_config(matches: &ArgMatches) -> anyhow::Result<TargetConfig> {
    let events =
        if matches.get_flag("no-events") { EventOutput::None } else { EventOutput::Stdout };
    let node = match matches.get_one::<String>("node") {
        Some(text) => Some(text.parse::<SocketAddr>().context("--node")?),
        None => None,
    };
    Ok(TargetConfig {
        name: read(matches, "name")?,
        service: read(matches, "service")?,
        address: read(matches, "address")?,
        node,
        slots: read(matches, "slots")?,
        connections: read(matches, "connections")?,
        backlog: read(matches, "backlog")?,
        service_ms: read(matches, "service-ms")?,
        class_service_ms: read_classes(matches)?,
        cold_start_ms: read(matches, "cold-start-ms")?,
        checks_grants: matches.get_flag("check-grants"),
        load_lag_ms: read(matches, "load-lag-ms")?,
        events,
    })
}

fn read<T>(matches: &ArgMatches, name: &str) -> anyhow::Result<T>
where
    T: FromStr,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    let text = matches.get_one::<String>(name).context("the option has a default")?;
    text.parse().with_context(|| format!("--{name} cannot be {text:?}"))
}

fn read_classes(matches: &ArgMatches) -> anyhow::Result<FastMap<String, f64>> {
    let mut classes = FastMap::default();
    for text in matches.get_many::<String>("class-ms").unwrap_or_default() {
        let (class, service_ms) =
            text.split_once('=').with_context(|| format!("--class-ms {text:?} is not CLASS=MS"))?;
        let service_ms = service_ms.parse().with_context(|| format!("--class-ms {text:?}"))?;
        classes.insert(class.to_owned(), service_ms);
    }
    Ok(classes)
}
