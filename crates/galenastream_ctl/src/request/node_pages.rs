//! Pages that nodes serve for operators.

use std::net::SocketAddr;

use bytes::Bytes;
use galenastream_adapter::Row;
use galenastream_node::{OPERATORS_PORT, STATUS_PATH, StatusPage};
use galenastream_runtime::{BodyBuffer, HttpConnection};
use galenastream_wire::{NodeRow, SHARED_ROWS_TABLE, SharedRowKey};
use http::{Request, StatusCode, header};
use http_body_util::Full;
use prost::Message;
use serde::de::DeserializeOwned;
use tokio::{task::JoinSet, time::timeout};

use crate::{CtlError, request::platform_store::PlatformStore};

/// Maximum size of a page. The longest part of a status page, the leases of one target, also fits in a
/// heartbeat reply of 4 KiB; an explanation names each target of a service.
const MAX_PAGE_BYTES: usize = 1024 * 1024;

/// A node that has registered in the store, and its status page or why it could not be fetched.
pub(crate) struct NodeStatusAnswer {
    pub(crate) node: String,
    pub(crate) row: NodeRow,
    pub(crate) status: Result<StatusPage, String>,
}

/// Fetches the status pages of all registered nodes, in the order of their names.
pub(crate) async fn fetch_statuses(
    store: &mut PlatformStore,
) -> Result<Vec<NodeStatusAnswer>, CtlError> {
    let mut queries = JoinSet::new();
    for row in store.read_table(SHARED_ROWS_TABLE).await? {
        let Some((node, row)) = decode_node_row(&row) else {
            continue;
        };
        let answer_timeout = store.answer_timeout;
        queries.spawn(async move {
            let status = match timeout(answer_timeout, fetch_page(&row.address, STATUS_PATH)).await
            {
                Ok(answer) => answer,
                Err(_) => Err(format!("no answer within {answer_timeout:?}")),
            };
            NodeStatusAnswer { node, row, status }
        });
    }
    let mut answers = queries.join_all().await;
    answers.sort_by(|a, b| a.node.cmp(&b.node));
    Ok(answers)
}

/// Decodes the name and the row of a node.
pub(crate) fn decode_node_row(row: &Row) -> Option<(String, NodeRow)> {
    let Some(SharedRowKey::Node(node)) = SharedRowKey::parse(&row.key) else {
        return None;
    };
    let value = row.value.as_ref()?;
    Some((node.to_owned(), NodeRow::decode(value.as_ref()).ok()?))
}

/// Fetches a page of the node that other nodes reach at `address`.
pub(crate) async fn fetch_page<T: DeserializeOwned>(
    address: &str,
    path: &str,
) -> Result<T, String> {
    let peer_address: SocketAddr =
        address.parse().map_err(|_| format!("{address} is not an IP address with a port"))?;
    let address = SocketAddr::new(peer_address.ip(), OPERATORS_PORT);
    let request = Request::builder()
        .uri(path)
        .header(header::HOST, address.to_string())
        .body(Full::new(Bytes::new()))
        .map_err(|it| it.to_string())?;
    let mut connection = HttpConnection::connect(address, std::time::Duration::MAX)
        .await
        .map_err(|it| it.to_string())?;
    let response = connection
        .exchange(request, BodyBuffer::new(MAX_PAGE_BYTES))
        .await
        .map_err(|it| it.to_string())?;
    if response.parts.status != StatusCode::OK {
        let text = String::from_utf8_lossy(&response.body);
        return Err(format!("the node responded with {}: {text}", response.parts.status));
    }
    serde_json::from_slice(&response.body).map_err(|it| it.to_string())
}
