//! Makes load on nodes, or on targets without nodes, and prints what became of it.

use std::{net::SocketAddr, path::Path, str::FromStr, time::Duration};

use anyhow::{Context, bail};
use clap::{Arg, ArgAction, ArgMatches, Command};
use galenastream_standin::{
    LoadClass, LoadEntry, LoadOutcome, LoadPlan, LoadSummary, run_load, write_chart,
};

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let matches = command().get_matches();
    let plan = read_plan(&matches)?;
    let summary = run_load(&plan).await?;
    print_summary(&summary);
    if let Some(file) = matches.get_one::<String>("report") {
        let title = format!("{} requests a second", plan.rate_per_s);
        write_chart(&summary, &title, Path::new(file))?;
        println!("report: {file}");
    }
    if summary.count(LoadOutcome::Wrong) > 0 {
        bail!("there were wrong answers");
    }
    Ok(())
}

fn command() -> Command {
    Command::new("load")
        .about("Open-loop load: Poisson arrivals, Zipf keys, latencies from the intended start")
        .arg(addresses("node", "A node's address for callers; repeat for several, taken in turn"))
        .arg(addresses("direct", "A target's address, called without a node; repeat for several"))
        .arg(option("service", "NAME", "catalogue", "The service"))
        .arg(option("rate", "PER_S", "1000", "Requests a second"))
        .arg(option("seconds", "S", "10", "How long requests are started"))
        .arg(option("warm-up-s", "S", "1", "How much of that is left out of the figures"))
        .arg(option("keys", "N", "100000", "How many keys there are"))
        .arg(option("zipf", "EXPONENT", "1.0", "The exponent of the distribution of keys"))
        .arg(option("hot-keys", "N", "400", "How many of the hottest keys a shift changes"))
        .arg(option("shift-s", "S", "0", "Time between two shifts; 0 for none"))
        .arg(option("seed", "N", "1", "Seeds arrivals, keys and classes"))
        .arg(
            Arg::new("class")
                .long("class")
                .value_name("NAME:KIND:SHARE_PERCENT:DEADLINE_MS:ANSWER_BYTES")
                .action(ArgAction::Append)
                .help(
                    "A class; KIND is read, reserve (POST with a ticket) or write; repeat for \
                     several [default: preview:read:80:250:2048 and reserve:reserve:20:1000:256]",
                ),
        )
        .arg(Arg::new("report").long("report").value_name("FILE").help("Write an SVG picture"))
}

fn option(
    name: &'static str,
    value_name: &'static str,
    default: &'static str,
    help: &'static str,
) -> Arg {
    Arg::new(name).long(name).value_name(value_name).default_value(default).help(help)
}

fn addresses(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("ADDRESS").action(ArgAction::Append).help(help)
}

fn read_plan(matches: &ArgMatches) -> anyhow::Result<LoadPlan> {
    let plan = LoadPlan {
        entry: read_entry(matches)?,
        service: read(matches, "service")?,
        rate_per_s: read(matches, "rate")?,
        duration: Duration::from_secs_f64(read(matches, "seconds")?),
        warm_up: Duration::from_secs_f64(read(matches, "warm-up-s")?),
        keys: read(matches, "keys")?,
        zipf_exponent: read(matches, "zipf")?,
        hot_keys: read(matches, "hot-keys")?,
        shift_interval: Duration::from_secs_f64(read(matches, "shift-s")?),
        classes: read_classes(matches)?,
        seed: read(matches, "seed")?,
    };
    plan.check()?;
    Ok(plan)
}

fn read_entry(matches: &ArgMatches) -> anyhow::Result<LoadEntry> {
    let nodes = read_addresses(matches, "node")?;
    let targets = read_addresses(matches, "direct")?;
    match (nodes.is_empty(), targets.is_empty()) {
        (false, true) => Ok(LoadEntry::Nodes(nodes)),
        (true, false) => Ok(LoadEntry::Targets(targets)),
        _ => bail!("name either nodes (--node) or targets (--direct)"),
    }
}

fn read_addresses(matches: &ArgMatches, name: &str) -> anyhow::Result<Vec<SocketAddr>> {
    let mut addresses = Vec::new();
    for text in matches.get_many::<String>(name).unwrap_or_default() {
        addresses.push(text.parse().with_context(|| format!("--{name} {text:?}"))?);
    }
    Ok(addresses)
}

fn read_classes(matches: &ArgMatches) -> anyhow::Result<Vec<LoadClass>> {
    let given: Vec<&str> =
        matches.get_many::<String>("class").unwrap_or_default().map(String::as_str).collect();
    let texts = if given.is_empty() {
        vec!["preview:read:80:250:2048", "reserve:reserve:20:1000:256"]
    } else {
        given
    };
    texts.into_iter().map(|it| it.parse().with_context(|| format!("--class {it:?}"))).collect()
}

fn read<T>(matches: &ArgMatches, name: &str) -> anyhow::Result<T>
where
    T: FromStr,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    let text = matches.get_one::<String>(name).context("the option has a default")?;
    text.parse().with_context(|| format!("--{name} cannot be {text:?}"))
}

fn print_summary(summary: &LoadSummary) {
    print!("{summary}");
    println!(
        "{} requests in {:.0} s measured; {:.0} ran a second",
        summary.total(),
        summary.measured().as_secs_f64(),
        summary.rate_per_s(LoadOutcome::Ran)
    );
}
