//! A platform and its clients for contract tests.

use std::{
    io::Read,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    time::Duration,
};

use galenastream_platform::{GetError, ObjectClient, PlatformLimits, PutError, TableClient};
use galenastream_standin::{PlatformFaults, PlatformStandin, wait_until};

/// The time limit of clients that meet faults.
const TIMEOUT_MS: u64 = 400;

/// The time limit of clients that meet none, long enough for a busy machine.
const PATIENT_TIMEOUT_MS: u64 = 10_000;

/// How much later than the time limit a late write takes effect.
pub const LATE_MS: u64 = 1_000;

/// How long a test waits for a condition.
pub const LIMIT: Duration = Duration::from_secs(10);

pub fn limits() -> PlatformLimits {
    PlatformLimits { max_answer_bytes: 64 * 1024, ..PlatformLimits::default() }
        .with_timeout_ms(TIMEOUT_MS)
        .with_backoff_ms(1, 2)
}

pub fn patient_limits() -> PlatformLimits {
    limits().with_timeout_ms(PATIENT_TIMEOUT_MS)
}

pub fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

pub async fn start_platform() -> PlatformStandin {
    PlatformStandin::start(any_port(), any_port()).await.expect("loopback has free ports")
}

pub fn table_at(address: SocketAddr, limits: PlatformLimits) -> TableClient {
    TableClient::new(&format!("http://{address}"), "rows", limits)
}

pub fn bucket_at(address: SocketAddr, limits: PlatformLimits) -> ObjectClient {
    ObjectClient::new(&format!("http://{address}"), "objects", limits)
}

/// An address at which nobody listens.
pub fn closed_address() -> SocketAddr {
    address_of(&listen())
}

/// A server that reads a little of each request and closes the connection.
pub fn hanging_up_address() -> SocketAddr {
    let listener = listen();
    let address = address_of(&listener);
    std::thread::spawn(move || {
        for mut connection in listener.incoming().flatten() {
            let _ = connection.read(&mut [0; 16]);
        }
    });
    address
}

fn listen() -> TcpListener {
    TcpListener::bind(any_port()).expect("loopback has free ports")
}

fn address_of(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("the listener is bound")
}

/// A fault of the platform, by name.
pub struct FaultCase {
    pub name: &'static str,
    pub faults: PlatformFaults,
}

/// The faults that a service of the platform may have.
pub fn fault_cases() -> Vec<FaultCase> {
    let none = PlatformFaults::default();
    let case = |name, faults| FaultCase { name, faults };
    vec![
        case("none", none),
        case("down", PlatformFaults { outage_ms: 60_000, ..none }),
        case("slow, within the limit", PlatformFaults { delay_ms: 20, ..none }),
        case("slow, beyond the limit", PlatformFaults { delay_ms: 2 * LATE_MS, ..none }),
        case("status 500", PlatformFaults { fail_share_percent: 100, ..none }),
        case("status 503", PlatformFaults { refuse_all: true, ..none }),
        case("answer dropped", PlatformFaults { drop_answer_after_apply: 1, ..none }),
        case("applied late", PlatformFaults { apply_late_ms: LATE_MS, ..none }),
        case("garbage answer", PlatformFaults { garbage_answers: true, ..none }),
        case("huge answer", PlatformFaults { huge_answer_bytes: 1024 * 1024, ..none }),
        case("half an answer", PlatformFaults { half_answers: true, ..none }),
    ]
}

pub fn put_word<T>(result: &Result<T, PutError>) -> &'static str {
    match result {
        Ok(_) => "written",
        Err(PutError::Conflict) => "conflict",
        Err(PutError::Unknown { .. }) => "unknown",
        Err(PutError::NotSent { .. }) => "not sent",
        Err(PutError::Refused { .. }) => "refused",
    }
}

pub fn get_word<T>(result: &Result<Option<T>, GetError>) -> &'static str {
    match result {
        Ok(Some(_)) => "found",
        Ok(None) => "absent",
        Err(GetError::Unavailable { .. }) => "unavailable",
        Err(GetError::Refused { .. }) => "refused",
        Err(GetError::Damaged { .. }) => "damaged",
    }
}

/// Whether a write shows at once, later, or never. Writes that are on their way take `LATE_MS`.
async fn effect(mut is_there: impl AsyncFnMut() -> bool) -> &'static str {
    if is_there().await {
        return "at once";
    }
    let patience = Duration::from_millis(3 * LATE_MS);
    match wait_until("a late write", patience, is_there).await {
        Ok(()) => "later",
        Err(_) => "never",
    }
}

/// One row of a table of faults: what a write and a read are told, and what became of the write.
pub async fn report_line<W, R, T, U>(
    name: &str,
    set_faults: impl Fn(bool),
    write: W,
    read: R,
) -> String
where
    W: AsyncFn() -> Result<T, PutError>,
    R: AsyncFn() -> Result<Option<U>, GetError>,
{
    set_faults(true);
    let put = write().await;
    set_faults(false);
    let shows = effect(async || matches!(read().await, Ok(Some(_)))).await;
    set_faults(true);
    let get = read().await;
    let (put, get) = (put_word(&put), get_word(&get));
    format!("{name:<24} put {put:<9} takes effect {shows:<8} get {get}\n")
}
