//! A target that answers with any bytes.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use anyhow::Context;
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    task::{AbortHandle, JoinHandle},
};

use super::{
    RawAnswer, TargetPlan, heartbeat_sender::send_heartbeats, platform_target_standin::TargetState,
};

/// Requests whose path ends in this get an empty answer, whatever other requests get.
const COMPLETE_PATH: &str = "/complete";

/// Requests whose path ends in this get an empty answer after [`SLOW_TIME`].
const SLOW_PATH: &str = "/slow";

/// The time of a slow request; long enough for others to start and end meanwhile.
const SLOW_TIME: Duration = Duration::from_millis(600);

/// A target that speaks HTTP on bare connections, so that its answers need not be valid. It sends
/// heartbeats like [`PlatformTargetStandin`](super::PlatformTargetStandin). Dropping it closes its
/// connections.
#[derive(Debug)]
pub struct RawTarget {
    state: Arc<RawState>,
    heartbeats: JoinHandle<()>,
    listener: JoinHandle<()>,
}

#[derive(Debug)]
struct RawState {
    id: String,
    answer: Mutex<RawAnswer>,
    health_answer: Mutex<RawAnswer>,
    /// The ids of the requests that ran.
    runs: Mutex<Vec<String>>,
    connections: Mutex<Vec<AbortHandle>>,
}

/// A request, as far as the target looks at it.
#[derive(Default)]
struct ReadRequest {
    path: String,
    id: String,
    expected_target: String,
    body_bytes: usize,
}

impl RawTarget {
    /// Starts a target and its heartbeats.
    pub async fn start(plan: &TargetPlan, answer: RawAnswer) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(plan.address)
            .await
            .with_context(|| format!("cannot listen at {}; choose a free address", plan.address))?;
        let state = Arc::new(RawState {
            id: plan.id.clone(),
            answer: Mutex::new(answer),
            health_answer: Mutex::new(RawAnswer::Complete(0)),
            runs: Mutex::default(),
            connections: Mutex::default(),
        });
        let heartbeats = send_heartbeats(
            Arc::new(TargetState::new(plan)),
            plan.advertised_address,
            plan.control,
            plan.heartbeat_interval,
        );
        Ok(Self {
            heartbeats: tokio::spawn(heartbeats),
            listener: tokio::spawn(accept(state.clone(), listener)),
            state,
        })
    }

    /// Sets how requests are answered from now on.
    pub fn set_answer(&self, answer: RawAnswer) {
        *lock(&self.state.answer) = answer;
    }

    /// Sets how health checks are answered from now on.
    pub fn set_health_answer(&self, answer: RawAnswer) {
        *lock(&self.state.health_answer) = answer;
    }

    /// Returns the ids of the requests that ran.
    pub fn runs(&self) -> Vec<String> {
        lock(&self.state.runs).clone()
    }
}

impl RawState {
    /// Returns the refusal of the next request, if it is to be refused.
    fn take_refusal(&self, request_id: &str) -> Option<String> {
        let mut answer = lock(&self.answer);
        let RawAnswer::RefuseNext { names_request } = *answer else {
            return None;
        };
        *answer = RawAnswer::Complete(0);
        let name = match names_request {
            true => format!("X-Request-Id: {request_id}\r\n"),
            false => String::new(),
        };
        Some(format!(
            "HTTP/1.1 503 Service Unavailable\r\n{name}X-Not-Executed: 1\r\n\
             Content-Length: 0\r\n\r\n"
        ))
    }
}

impl Drop for RawTarget {
    fn drop(&mut self) {
        self.heartbeats.abort();
        self.listener.abort();
        for connection in lock(&self.state.connections).drain(..) {
            connection.abort();
        }
    }
}

async fn accept(state: Arc<RawState>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let served = state.clone();
        let connection = tokio::spawn(async move {
            // The node closes the connection in the middle of an answer without end.
            if let Err(error) = serve(&served, stream).await {
                log::debug!("a connection to the target ended: {error}");
            }
        });
        lock(&state.connections).push(connection.abort_handle());
    }
}

async fn serve(state: &RawState, stream: TcpStream) -> anyhow::Result<()> {
    let mut stream = BufReader::new(stream);
    let mut repeated = String::new();
    while let Some(request) = read_request(&mut stream).await? {
        stream.get_mut().write_all(std::mem::take(&mut repeated).as_bytes()).await?;
        let headers = format!(
            "X-Request-Id: {0}\r\nX-Instance-Id: {1}\r\nX-Server-Signature: {1}.{0}\r\n",
            request.id, state.id
        );
        if request.path == "/health" {
            let answer = *lock(&state.health_answer);
            send_answer(stream.get_mut(), answer, &headers).await?;
            continue;
        }
        if request.expected_target != state.id {
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: {}\r\nX-Not-Executed: 1\r\n\
                 Content-Length: 0\r\n\r\n",
                request.id
            );
            stream.get_mut().write_all(answer.as_bytes()).await?;
            continue;
        }
        if let Some(refusal) = state.take_refusal(&request.id) {
            stream.get_mut().write_all(refusal.as_bytes()).await?;
            repeated = refusal;
            continue;
        }
        lock(&state.runs).push(request.id);
        let is_slow = request.path.ends_with(SLOW_PATH);
        if is_slow {
            tokio::time::sleep(SLOW_TIME).await;
        }
        let answer = match is_slow || request.path.ends_with(COMPLETE_PATH) {
            true => RawAnswer::Complete(0),
            false => *lock(&state.answer),
        };
        let headers = format!("{headers}X-Body-Bytes: {}\r\n", request.body_bytes);
        if !send_answer(stream.get_mut(), answer, &headers).await? {
            return Ok(());
        }
    }
    Ok(())
}

/// Sends an answer with these headers. Returns whether the connection stays open.
async fn send_answer(
    stream: &mut TcpStream,
    answer: RawAnswer,
    headers: &str,
) -> anyhow::Result<bool> {
    let headers = if answer.has_no_headers() { "" } else { headers };
    let head = format!("{}{headers}{}", answer.status_line(), answer.head_end());
    if let RawAnswer::CutHead(bytes) = answer {
        stream.write_all(&head.as_bytes()[..bytes.min(head.len())]).await?;
        return Ok(false);
    }
    stream.write_all(head.as_bytes()).await?;
    let block = answer.block();
    let mut left_bytes = answer.length_bytes().unwrap_or(usize::MAX);
    while left_bytes > 0 {
        let part = &block[..block.len().min(left_bytes)];
        stream.write_all(part).await?;
        if answer.length_bytes().is_some() {
            left_bytes -= part.len();
        }
    }
    Ok(true)
}

/// Reads a request with its body. Returns `None` if the connection ends before it.
async fn read_request(stream: &mut BufReader<TcpStream>) -> anyhow::Result<Option<ReadRequest>> {
    let mut line = String::new();
    if stream.read_line(&mut line).await? == 0 {
        return Ok(None);
    }
    let path = line.split(' ').nth(1).unwrap_or_default().to_owned();
    let mut request = ReadRequest { path, ..Default::default() };
    loop {
        line.clear();
        stream.read_line(&mut line).await?;
        let Some((name, value)) = line.trim_end().split_once(": ") else {
            break;
        };
        if name.eq_ignore_ascii_case("x-request-id") {
            request.id = value.to_owned();
        } else if name.eq_ignore_ascii_case("x-expected-instance") {
            request.expected_target = value.to_owned();
        } else if name.eq_ignore_ascii_case("content-length") {
            request.body_bytes = value.parse()?;
        }
    }
    stream.read_exact(&mut vec![0; request.body_bytes]).await?;
    Ok(Some(request))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
