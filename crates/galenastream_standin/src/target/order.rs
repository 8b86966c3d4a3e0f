//! An order: a request with the proof that its sender may give it.

use http::{HeaderMap, Method, request::Parts};

/// An order as its headers state it.
#[derive(Debug, Clone)]
pub(crate) struct Order {
    pub key: String,
    pub request_id: String,
    pub ticket: String,
    pub class: String,
    pub method: Method,
    pub slice: Option<u32>,
    pub epoch: Option<u64>,
    pub term: Option<u64>,
    pub deadline_boot_ns: Option<u64>,
    /// How long the answer shall be, at least.
    pub padding_bytes: usize,
}

impl Order {
    pub(crate) fn read(parts: &Parts) -> Self {
        let headers = &parts.headers;
        Self {
            key: text(headers, "galenastream-key"),
            request_id: text(headers, "galenastream-request-id"),
            ticket: text(headers, "galenastream-ticket"),
            class: text(headers, "galenastream-class"),
            method: parts.method.clone(),
            slice: text(headers, "galenastream-slice").parse().ok(),
            epoch: text(headers, "galenastream-epoch").parse().ok(),
            term: text(headers, "galenastream-term").parse().ok(),
            deadline_boot_ns: text(headers, "galenastream-deadline-boot-ns").parse().ok(),
            padding_bytes: padding_bytes(parts.uri.query().unwrap_or_default()),
        }
    }

    /// Whether the deadline has passed.
    pub(crate) fn is_late(&self, boot_ns: u64) -> bool {
        self.deadline_boot_ns.is_some_and(|it| boot_ns >= it)
    }

    /// Whether the order changes the key's state.
    pub(crate) fn changes_state(&self) -> bool {
        self.method != Method::GET && self.method != Method::HEAD
    }
}

fn text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).map(|it| String::from_utf8_lossy(it.as_bytes()).into_owned());
    value.unwrap_or_default()
}

fn padding_bytes(query: &str) -> usize {
    for pair in query.split('&') {
        if let Some(value) = pair.strip_prefix("bytes=") {
            return value.parse().unwrap_or(0);
        }
    }
    0
}
