//! A checked request of a caller.

use bytes::Bytes;
use galenastream_ownership::{KeyHash, ServiceId};
use galenastream_routing::Deadline;
use galenastream_settings::EffectiveSettings;
use galenastream_wire::{Forward, Header, MAX_FRAME_BYTES, TicketToken};
use http::{HeaderMap, Uri, request::Parts};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use tokio::time::timeout;
use volo_http::body::Body;

use super::{Refusal, end_to_end, headers as names, parse_ticket};
use crate::{process::boot_now, version::SettingsVersionInForce};

/// What a frame holds besides a body, at most.
const FRAME_RESERVE_BYTES: u64 = 256 * 1024;

/// The longest request id that is taken from a caller, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 64;

/// The path below a service that issues tickets.
pub const TICKET_PATH: &str = "/galenastream/ticket";

/// The head of a checked request of a caller.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// Follows the request through logs.
    pub request_id: String,
    /// The name of the service.
    pub service_name: String,
    /// The service.
    pub service: ServiceId,
    /// Whether the service is divided by key.
    pub divided_by_key: bool,
    /// The key; empty for a service that is not divided by key.
    pub key: Bytes,
    /// The method.
    pub method: String,
    /// The path below the service, with its query.
    pub path: String,
    /// The end-to-end headers.
    pub headers: Vec<Header>,
    /// When the answer stops being of use.
    pub deadline: Deadline,
    /// The caller's ticket.
    pub ticket: Option<TicketToken>,
    /// The class.
    pub class: String,
    /// Whether running the request twice does what running it once does.
    pub idempotent: bool,
    /// The longest body.
    pub max_body_bytes: u64,
    /// When a refused caller is told to come back, unless more is known.
    pub retry_after_ms: u32,
}

/// A checked request of a caller.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Everything but the body.
    pub head: RequestHead,
    /// The body, whole.
    pub body: Bytes,
}

impl RequestHead {
    /// Checks the head of a request. `request_id` is used unless the caller gave one.
    pub fn check(
        parts: &Parts,
        settings: &SettingsVersionInForce,
        request_id: String,
    ) -> Result<Self, Refusal> {
        let arrived_at = boot_now();
        let (service_name, path) = split_path(&parts.uri)?;
        let service = ServiceId::from_name(service_name);
        let key = single(&parts.headers, names::KEY)?.unwrap_or_default();
        let Some(effective) = settings.effective(service, &key) else {
            return Err(Refusal::UnknownService { service: service_name.to_owned() });
        };
        check_key(&key, effective)?;
        let remaining_ms = read_deadline_ms(&parts.headers, effective)?;
        let method = parts.method.as_str().to_owned();
        let id = request_id_of(&parts.headers).unwrap_or(request_id);
        Ok(Self {
            request_id: id,
            service_name: service_name.to_owned(),
            service,
            divided_by_key: effective.divided_by_key,
            key,
            idempotent: effective.is_idempotent(&method),
            method,
            path,
            headers: end_to_end(&parts.headers),
            deadline: Deadline::new(arrived_at, remaining_ms),
            ticket: read_ticket(&parts.headers, service, service_name, effective)?,
            class: read_class(&parts.headers, effective)?,
            max_body_bytes: max_body_bytes(effective),
            retry_after_ms: effective.retry_after_ms,
        })
    }

    /// The position of the key.
    pub fn hash(&self) -> KeyHash {
        KeyHash::of(&self.key)
    }

    /// Reads the body, whole and within its limit and the deadline.
    pub async fn read_body(self, body: Body) -> Result<CallerRequest, Refusal> {
        let limit = usize::try_from(self.max_body_bytes).unwrap_or(usize::MAX);
        let collected = Limited::new(body, limit).collect();
        let remaining = self.deadline.remaining(boot_now());
        let Ok(read) = timeout(remaining, collected).await else {
            return Err(Refusal::BodyTimeout);
        };
        match read {
            Ok(body) => Ok(CallerRequest { head: self, body: body.to_bytes() }),
            Err(error) if error.is::<LengthLimitError>() => {
                Err(Refusal::BodyTooLong { limit_bytes: self.max_body_bytes })
            }
            Err(_) => Err(Refusal::BodyCut),
        }
    }
}

impl CallerRequest {
    /// The message to the owner's node.
    pub fn forward(&self, settings_version: u64) -> Forward {
        let head = &self.head;
        Forward {
            request_id: head.request_id.clone(),
            service: head.service.0,
            key: head.key.clone(),
            method: head.method.clone(),
            path: head.path.clone(),
            headers: head.headers.clone(),
            body: self.body.clone(),
            deadline_ms: head.deadline.remaining_ms(boot_now()),
            ticket: head.ticket,
            class: head.class.clone(),
            settings_version,
        }
    }
}

/// The largest body that fits the settings and a frame between nodes.
pub fn max_body_bytes(settings: &EffectiveSettings) -> u64 {
    settings.max_body_bytes.min(MAX_FRAME_BYTES as u64 - FRAME_RESERVE_BYTES)
}

fn split_path(uri: &Uri) -> Result<(&str, String), Refusal> {
    let path = uri.path();
    let below_root = path.strip_prefix('/').ok_or(Refusal::Path)?;
    let (service, below) = below_root.split_once('/').unwrap_or((below_root, ""));
    if service.is_empty() {
        return Err(Refusal::NoService);
    }
    let below = match uri.query() {
        Some(query) => format!("/{below}?{query}"),
        None => format!("/{below}"),
    };
    Ok((service, below))
}

fn single(headers: &HeaderMap, name: &'static str) -> Result<Option<Bytes>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        return Err(Refusal::HeaderRepeated { header: name });
    }
    Ok(first.map(|it| Bytes::copy_from_slice(it.as_bytes())))
}

fn single_text(headers: &HeaderMap, name: &'static str) -> Result<Option<String>, Refusal> {
    let value = single(headers, name)?;
    Ok(value.map(|it| String::from_utf8_lossy(&it).into_owned()))
}

fn check_key(key: &[u8], settings: &EffectiveSettings) -> Result<(), Refusal> {
    if key.is_empty() && settings.divided_by_key {
        return Err(Refusal::KeyMissing);
    }
    if key.len() > settings.max_key_bytes as usize {
        return Err(Refusal::KeyLength {
            length_bytes: key.len(),
            limit_bytes: settings.max_key_bytes,
        });
    }
    Ok(())
}

fn read_deadline_ms(headers: &HeaderMap, settings: &EffectiveSettings) -> Result<u32, Refusal> {
    let Some(value) = single_text(headers, names::DEADLINE_MS)? else {
        return Ok(settings.request_deadline_ms);
    };
    let limit_ms = settings.max_deadline_ms;
    let parsed = value.parse::<u32>().ok().filter(|it| (1..=limit_ms).contains(it));
    parsed.ok_or_else(|| Refusal::Deadline { value: shorten(&value), limit_ms })
}

fn read_ticket(
    headers: &HeaderMap,
    service: ServiceId,
    service_name: &str,
    settings: &EffectiveSettings,
) -> Result<Option<TicketToken>, Refusal> {
    let Some(value) = single_text(headers, names::TICKET)? else {
        return Ok(None);
    };
    if !settings.divided_by_key {
        return Err(Refusal::NoTickets { service: service_name.to_owned() });
    }
    let ticket = parse_ticket(service, &value);
    ticket.map(Some).ok_or_else(|| Refusal::Ticket { value: shorten(&value) })
}

fn read_class(headers: &HeaderMap, settings: &EffectiveSettings) -> Result<String, Refusal> {
    let Some(value) = single_text(headers, names::CLASS)? else {
        return Ok(settings.default_class.clone());
    };
    if settings.class(&value).is_some() {
        return Ok(value);
    }
    let names: Vec<&str> = settings.classes.iter().map(|it| it.name.as_str()).collect();
    Err(Refusal::Class { value: shorten(&value), allowed: names.join(", ") })
}

fn request_id_of(headers: &HeaderMap) -> Option<String> {
    let text = headers.get(names::REQUEST_ID)?.to_str().ok()?;
    let is_valid = (1..=MAX_REQUEST_ID_BYTES).contains(&text.len())
        && text.bytes().all(|it| it.is_ascii_graphic());
    is_valid.then(|| text.to_owned())
}

fn shorten(value: &str) -> String {
    const SHOWN_CHARS: usize = 40;
    if value.chars().count() <= SHOWN_CHARS {
        return value.to_owned();
    }
    let shown: String = value.chars().take(SHOWN_CHARS).collect();
    format!("{shown}...")
}
