//! The body of a heartbeat.

use serde_json::{Value, json};

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
}

/// Returns the JSON body of a heartbeat of a target that is ready for requests.
pub fn heartbeat_body(fields: HeartbeatFields<'_>) -> String {
    heartbeat_document(fields).to_string()
}

/// Returns the document of a heartbeat of a target that is ready for requests.
pub(super) fn heartbeat_document(fields: HeartbeatFields<'_>) -> Value {
    json!({
        "address": fields.address,
        "holds": fields.held,
        "released": fields.released,
        "info": { "service": fields.service, "version": "v1", "zone": "east", "slots": fields.slots },
        "status": { "state": "ready", "seq": fields.sequence, "coldRemainingMs": 0 },
    })
}
