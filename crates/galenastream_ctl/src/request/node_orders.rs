//! `drain`, `move` and `cell takeover`.

use std::net::SocketAddrV4;

use clap::ArgMatches;
use galenastream_node::{AcceptedDocument, MoveOrder, TakeoverOrder, TargetsDocument};
use serde::Serialize;

use crate::{
    CtlError, OutputFormat, TAKEOVER,
    request::{admin_client::AdminClient, argument},
};

/// The body of an order that needs none.
#[derive(Serialize)]
struct EmptyOrder {}

/// `drain`.
pub(crate) async fn drain(matches: &ArgMatches, output: OutputFormat) -> Result<(), CtlError> {
    let client = AdminClient::new(matches);
    let target = vm(matches, "target");
    let targets: TargetsDocument = client.get("/admin/targets").await?;
    let beside = targets.local.vm;
    if beside != target {
        return Err(CtlError::WrongNode { node: client.node(), beside, target });
    }
    let accepted: AcceptedDocument = client.post("/admin/drain", &EmptyOrder {}).await?;
    let text = format!(
        "{target} drains: its keys are handed over, then it gets no new work\n\
         see `galenastreamctl targets` for what it still holds"
    );
    output.print(&accepted, &text);
    Ok(())
}

/// `move`.
pub(crate) async fn move_key(matches: &ArgMatches, output: OutputFormat) -> Result<(), CtlError> {
    let order = MoveOrder {
        service: argument(matches, "service").to_owned(),
        key: argument(matches, "key").to_owned(),
        to: vm(matches, "to"),
    };
    let client = AdminClient::new(matches);
    let accepted: AcceptedDocument = client.post("/admin/move", &order).await?;
    let text = format!(
        "the slice of {:?} moves to {}; see `galenastreamctl owner` for when it is there",
        order.key, order.to
    );
    output.print(&accepted, &text);
    Ok(())
}

/// `cell takeover`.
pub(crate) async fn takeover(matches: &ArgMatches, output: OutputFormat) -> Result<(), CtlError> {
    if !matches.get_flag("yes") {
        return Err(CtlError::NotConfirmed { explanation: TAKEOVER });
    }
    let order = TakeoverOrder { service: argument(matches, "service").to_owned() };
    let client = AdminClient::new(matches);
    let accepted: AcceptedDocument = client.post("/admin/takeover", &order).await?;
    let text = format!(
        "node {} takes the cell over; see `galenastreamctl cells` for the new term",
        client.node()
    );
    output.print(&accepted, &text);
    Ok(())
}

fn vm(matches: &ArgMatches, name: &str) -> SocketAddrV4 {
    *matches.get_one::<SocketAddrV4>(name).expect("clap requires the argument")
}
