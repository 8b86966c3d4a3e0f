//! Runs the stand-in of the platform until it is killed.

use std::net::SocketAddr;

use clap::{Arg, Command, value_parser};
use galenastream_standin::{PlatformStandin, wait_for_signal};

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let matches = Command::new("platform")
        .about("Stand-in of the platform: table service and object store in memory")
        .arg(address("table-address", "Where the table service listens"))
        .arg(address("object-address", "Where the object store listens"))
        .after_help(
            "Faults are set at either address, for that service: \
             POST /standin/faults with JSON such as {\"delay_ms\":200}; {} ends them.",
        )
        .get_matches();
    let table_address = *matches.get_one::<SocketAddr>("table-address").expect("has a default");
    let object_address = *matches.get_one::<SocketAddr>("object-address").expect("has a default");
    let platform = PlatformStandin::start(table_address, object_address).await?;
    println!("listening {} {}", platform.table_address(), platform.object_address());
    wait_for_signal().await
}

fn address(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .value_name("ADDRESS")
        .value_parser(value_parser!(SocketAddr))
        .default_value("127.0.0.1:0")
}
