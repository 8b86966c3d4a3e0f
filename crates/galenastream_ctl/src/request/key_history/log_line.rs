//! Lines of logs.

use serde::Deserialize;

use super::{LogTime, OwnershipEvent};

/// Line about the ownership of keys.
#[derive(Debug)]
pub(crate) struct LogLine {
    pub(crate) node: String,
    pub(crate) time: LogTime,
    pub(crate) event: OwnershipEvent,
}

#[derive(Deserialize)]
struct Record {
    timestamp: String,
    kvs: Option<serde_json::Value>,
}

impl LogLine {
    /// Decodes the time and the event of a line. Returns `None` if it is not about ownership.
    pub(super) fn decode(line: &[u8]) -> Result<Option<(LogTime, OwnershipEvent)>, String> {
        let record: Record = serde_json::from_slice(line).map_err(|error| error.to_string())?;
        let Some(kvs) = record.kvs.filter(|it| it.get("event").is_some()) else {
            return Ok(None);
        };
        let event = kvs["event"].as_str().unwrap_or_default().to_owned();
        let decoded = match serde_json::from_value(kvs) {
            Ok(OwnershipEvent::Other) => return Ok(None),
            Ok(decoded) => decoded,
            Err(error) => return Err(format!("{event}: {error}")),
        };
        let Some(time) = LogTime::parse(&record.timestamp) else {
            return Err(format!("{:?} is not a timestamp", record.timestamp));
        };
        Ok(Some((time, decoded)))
    }
}
