//! The body of a heartbeat.

use serde_json::json;

/// The fields of a heartbeat.
#[derive(Debug, Clone, Copy)]
pub struct HeartbeatFields<'a> {
    /// The address where the target accepts requests.
    pub address: &'a str,
    /// The service of the target.
    pub service: &'a str,
    /// How many requests the target processes concurrently.
    pub slots: u32,
    /// The sequence number, which rises with each heartbeat.
    pub sequence: u64,
    /// The ranges that the target holds: first key, last key and fencing token.
    pub held: &'a [(u16, u16, u64)],
    /// The ranges that the target released: first key, last key and handover token.
    pub released: &'a [(u16, u16, String)],
    /// When the target started, as Unix time, if it reports that.
    pub born_ms: Option<u64>,
}

/// Fields that targets always send, and that say nothing of the address, the service or the state, as
/// JSON pointers.
pub const REQUIRED_HEARTBEAT_FIELDS: [&str; 3] =
    ["/info/version", "/info/zone", "/status/coldRemainingMs"];

/// Returns the request with which a target sends the body of a heartbeat.
pub fn heartbeat_request(target_id: &str, body: &str) -> String {
    format!(
        "POST /galenastream/instances/{target_id}/heartbeat HTTP/1.1\r\nHost: node\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns the JSON body of a heartbeat of a target that is ready for requests.
pub fn heartbeat_body(fields: HeartbeatFields<'_>) -> String {
    cold_heartbeat_body(fields, 0)
}

/// Returns the JSON body of a heartbeat of a target that is ready for requests and stays cold for some
/// time.
pub fn cold_heartbeat_body(fields: HeartbeatFields<'_>, cold_remaining_ms: u64) -> String {
    let body = json!({
        "born": fields.born_ms,
        "address": fields.address,
        "holds": fields.held,
        "released": fields.released,
        "info": { "service": fields.service, "version": "v1", "zone": "east", "slots": fields.slots },
        "status": { "state": "ready", "seq": fields.sequence, "coldRemainingMs": cold_remaining_ms },
    });
    body.to_string()
}
