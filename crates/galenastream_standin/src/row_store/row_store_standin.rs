//! The HTTP server of a store.

use std::{
    collections::{BTreeMap, VecDeque},
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use base64::{Engine, prelude::BASE64_STANDARD};
use http::{HeaderValue, Method, StatusCode};
use percent_encoding::percent_decode_str;
use serde_json::{Value, json};
use tokio::{sync::watch, time::timeout};
use volo::service::Service;
use volo_http::{context::ServerContext, request::Request, response::Response};

use super::{
    StoreFault,
    change_log::ChangeLog,
    row_table::{RowTable, Transaction},
};
use crate::{HttpServer, json_reply, read_json, text_reply};

/// The maximum number of rows of an answer.
const MAX_PAGE_ROWS: usize = 500;

/// How long past tables are kept.
const PAST_TIME: Duration = Duration::from_secs(10);

/// The time between two looks for the end of a fault of feeds.
const DEAF_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A store of rows with an HTTP server.
#[derive(Debug)]
pub struct RowStoreStandin {
    server: HttpServer,
    state: Arc<State>,
}

#[derive(Debug)]
struct State {
    table: Mutex<RowTable>,
    /// Locked only while `table` is.
    log: Mutex<ChangeLog>,
    fault: Mutex<StoreFault>,
    version: watch::Sender<u64>,
    /// How often the store was restored from a copy, counted from 1.
    era: AtomicU64,
    copy: Mutex<RowTable>,
    /// The tables of the last seconds, each with the instant at which it was replaced.
    past: Mutex<VecDeque<(Instant, RowTable)>>,
    /// A text that is replaced by another one in all rows that nodes write.
    replacement: Mutex<Option<[&'static str; 2]>>,
    /// How many feeds of each table nodes have asked for.
    feeds: Mutex<BTreeMap<String, usize>>,
}

#[derive(Debug, Clone)]
struct StoreService {
    state: Arc<State>,
}

impl RowStoreStandin {
    /// Starts an empty store that listens at an address. Port 0 stands for any free port.
    pub async fn start(address: SocketAddr) -> anyhow::Result<Self> {
        let state = Arc::new(State {
            table: Mutex::default(),
            log: Mutex::default(),
            fault: Mutex::default(),
            version: watch::Sender::new(0),
            era: AtomicU64::new(1),
            copy: Mutex::default(),
            past: Mutex::default(),
            replacement: Mutex::default(),
            feeds: Mutex::default(),
        });
        let server = HttpServer::start(address, StoreService { state: state.clone() })?;
        Ok(Self { server, state })
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the fault of calls from now on.
    pub fn set_fault(&self, fault: StoreFault) {
        *lock(&self.state.fault) = fault;
    }

    /// Replaces a text by another one of the same length in all rows that are written from now on.
    pub fn replace_in_rows(&self, replacement: [&'static str; 2]) {
        *lock(&self.state.replacement) = Some(replacement);
    }

    /// Returns how many feeds of a table nodes have asked for, but for those that met a fault that
    /// keeps the store from executing calls.
    pub fn feed_count(&self, table: &str) -> usize {
        lock(&self.state.feeds).get(table).copied().unwrap_or(0)
    }

    /// Makes the copy to which [`restore`](Self::restore) goes back.
    pub fn make_copy(&self) {
        *lock(&self.state.copy) = lock(&self.state.table).clone();
    }

    /// Goes back to the last copy: what nodes have written since is lost, and its versions are given
    /// out again. All responses name the next era. The config stays, as operators write it again.
    pub fn restore(&self) {
        let copy = lock(&self.state.copy).clone();
        let version = {
            let mut table = lock(&self.state.table);
            lock(&self.state.past).clear();
            let mut log = lock(&self.state.log);
            log.restore(copy.version());
            table.restore(copy, &["op"]);
            log.extend(table.take_unlogged());
            self.state.era.fetch_add(1, Ordering::Relaxed);
            table.version()
        };
        self.state.version.send_replace(version);
    }

    /// Writes a row with a value, as another writer would.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        self.put_encoded(table, key, &BASE64_STANDARD.encode(value));
    }

    /// Writes a row with an encoded value. The value is not checked, so that it can be invalid
    /// Base64, which the interface of the store does not allow.
    pub fn put_encoded(&self, table: &str, key: &str, value: &str) {
        let put = json!({ "puts": [{ "table": table, "part": "", "key": key, "value": value }] });
        if let Ok(transaction) = serde_json::from_value(put) {
            // A transaction without conditions always applies.
            let _ = self.state.apply(transaction);
        }
    }

    /// Removes a row, as another writer would.
    pub fn remove(&self, table: &str, key: &str) {
        let removal = json!({ "remove": [{ "table": table, "part": "", "key": key }] });
        if let Ok(transaction) = serde_json::from_value(removal) {
            // A transaction without conditions always applies.
            let _ = self.state.apply(transaction);
        }
    }

    /// Closes all connections and stops listening.
    pub fn close(self) {
        self.server.close();
    }
}

impl State {
    fn apply(&self, mut transaction: Transaction) -> Result<Value, Value> {
        if let Some([from, to]) = *lock(&self.replacement) {
            transaction.replace_in_values(from, to);
        }
        let (result, version) = {
            let mut table = lock(&self.table);
            self.keep_past(&table);
            let result = table.apply(transaction);
            lock(&self.log).extend(table.take_unlogged());
            (result, table.version())
        };
        self.version.send_replace(version);
        result
    }
}

impl State {
    /// Keeps a table that is about to change.
    fn keep_past(&self, table: &RowTable) {
        let now = Instant::now();
        let mut past = lock(&self.past);
        past.push_back((now, table.clone()));
        while past.front().is_some_and(|it| it.0 + PAST_TIME < now) {
            past.pop_front();
        }
    }

    /// Returns the table of some time ago.
    fn table_before(&self, age: Duration) -> RowTable {
        let now = Instant::now();
        let past = lock(&self.past);
        let found = past.iter().find(|it| it.0 + age > now).map(|it| it.1.clone());
        drop(past);
        found.unwrap_or_else(|| lock(&self.table).clone())
    }

    /// Returns the changes of a table after a version, and the newest version of the store.
    fn changes(&self, table: &str, after: u64) -> (Vec<Value>, u64) {
        let current = lock(&self.table);
        (lock(&self.log).after(table, after), current.version())
    }

    /// Waits for the end of a fault in which feeds get no answer. Returns whether there was one.
    async fn was_deaf(&self) -> bool {
        let mut was_deaf = false;
        while *lock(&self.fault) == StoreFault::DeafFeeds {
            was_deaf = true;
            tokio::time::sleep(DEAF_POLL_INTERVAL).await;
        }
        was_deaf
    }
}

impl Service<ServerContext, Request> for StoreService {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _: &mut ServerContext, request: Request) -> Result<Response, Infallible> {
        let fault = *lock(&self.state.fault);
        let mut response = match fault {
            StoreFault::Refuse(status) => {
                let status = StatusCode::from_u16(status);
                text_reply(status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE), "refused")
            }
            StoreFault::Silent => std::future::pending().await,
            StoreFault::LoseWriteAnswer if request.method() == Method::GET => {
                self.answer(request, fault).await
            }
            StoreFault::LoseAnswer | StoreFault::LoseWriteAnswer => {
                self.answer(request, fault).await;
                std::future::pending().await
            }
            StoreFault::Late(delay) => {
                let service = self.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    service.answer(request, fault).await;
                });
                std::future::pending().await
            }
            StoreFault::Slow(delay) => {
                tokio::time::sleep(delay).await;
                self.answer(request, fault).await
            }
            StoreFault::None
            | StoreFault::DropHistory
            | StoreFault::RefuseTable(_)
            | StoreFault::Stale(_)
            | StoreFault::StaleWithoutHistory(_)
            | StoreFault::DeafFeeds => self.answer(request, fault).await,
        };
        let era = self.state.era.load(Ordering::Relaxed);
        response.headers_mut().insert("store-era", HeaderValue::from(era));
        Ok(response)
    }
}

impl StoreService {
    async fn answer(&self, request: Request, fault: StoreFault) -> Response {
        let path = request.uri().path().to_owned();
        let query = parse_query(request.uri().query().unwrap_or_default());
        if let StoreFault::RefuseTable(table) = fault
            && parameter(&query, "table") == table
        {
            return text_reply(StatusCode::SERVICE_UNAVAILABLE, "refused");
        }
        match path.as_str() {
            "/galenastream/rows-tx" => match read_json::<Transaction>(request).await {
                Ok(transaction) => match self.state.apply(transaction) {
                    Ok(result) => json_reply(StatusCode::OK, &result),
                    Err(rows) => json_reply(StatusCode::PRECONDITION_FAILED, &rows),
                },
                Err(reason) => text_reply(StatusCode::BAD_REQUEST, reason),
            },
            "/galenastream/rows-get" => {
                let table = match fault {
                    StoreFault::Stale(age) | StoreFault::StaleWithoutHistory(age) => {
                        self.state.table_before(age)
                    }
                    _ => lock(&self.state.table).clone(),
                };
                let from = percent_decode_str(parameter(&query, "from")).decode_utf8_lossy();
                let mut rows = table.read(parameter(&query, "table"), &from);
                let limit = parameter(&query, "limit").parse().unwrap_or(MAX_PAGE_ROWS);
                let has_more = rows.len() > limit;
                rows.truncate(limit);
                let page = json!({
                    "rows": rows, "hasMore": has_more, "ver": table.version(), "nowMs": 0,
                });
                json_reply(StatusCode::OK, &page)
            }
            "/galenastream/rows-feed" => match fault {
                StoreFault::DropHistory | StoreFault::StaleWithoutHistory(_) => {
                    text_reply(StatusCode::GONE, "the history was dropped")
                }
                _ => self.feed(&query).await,
            },
            _ => text_reply(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    async fn feed(&self, query: &BTreeMap<String, String>) -> Response {
        let table = parameter(query, "table");
        *lock(&self.state.feeds).entry(table.to_owned()).or_default() += 1;
        let after = parameter(query, "after").parse().unwrap_or(0);
        let wait = Duration::from_millis(parameter(query, "waitMs").parse().unwrap_or(0));
        let mut versions = self.state.version.subscribe();
        if after > lock(&self.state.table).version() {
            return text_reply(StatusCode::GONE, "the version is not known");
        }
        let wait_for_change = async {
            while self.state.changes(table, after).0.is_empty() {
                if versions.changed().await.is_err() {
                    return;
                }
            }
        };
        // After a timeout without changes, the answer has no rows.
        let _ = timeout(wait, wait_for_change).await;
        if self.state.was_deaf().await {
            return text_reply(StatusCode::GONE, "the history was dropped");
        }
        if !lock(&self.state.log).reaches_back_to(after) {
            return text_reply(StatusCode::GONE, "the history was dropped");
        }
        let (mut rows, version) = self.state.changes(table, after);
        let has_more = rows.len() > MAX_PAGE_ROWS;
        rows.truncate(MAX_PAGE_ROWS);
        let page = json!({ "rows": rows, "hasMore": has_more, "ver": version, "nowMs": 0 });
        json_reply(StatusCode::OK, &page)
    }
}

fn parse_query(query: &str) -> BTreeMap<String, String> {
    let pairs = query.split('&').filter_map(|it| it.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}

fn parameter<'a>(query: &'a BTreeMap<String, String>, name: &str) -> &'a str {
    query.get(name).map_or("", String::as_str)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
