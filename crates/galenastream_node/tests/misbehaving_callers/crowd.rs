//! Callers that send what a script says and stay.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use galenastream_standin::wait_until;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    sync::Semaphore,
    task::JoinHandle,
    time::{sleep, timeout},
};

use super::{TIMEOUT, WORKS};

/// How long a member tries to send a piece. One that a node does not read stays unsent.
const SEND_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Members that connect at the same time, and for how long each of them keeps its turn: the queue of new
/// connections of a node is not to overflow, since the kernel then leaves some to their callers alone.
const CONNECTING: usize = 64;
const CONNECT_TIME: Duration = Duration::from_millis(10);

/// The pause of a member before it comes back, and after a piece if there are many.
const RETURN_PAUSE: Duration = Duration::from_millis(20);
const PIECE_PAUSE: Duration = Duration::from_millis(2);

/// For how long a crowd stays, or keeps coming back, before an ordinary request is sent beside it.
const STAY_TIME: Duration = Duration::from_secs(3);

/// The receive buffer of members that do not read.
pub(super) const SMALL_WINDOW_BYTES: u32 = 4_096;

/// What each member of a crowd does on a connection.
#[derive(Debug, Clone)]
pub(super) struct Script {
    pieces: Vec<Bytes>,
    has_pauses: bool,
    comes_back: bool,
    has_small_window: bool,
}

impl Script {
    /// Sends all bytes at once, and stays.
    pub(super) fn whole(bytes: impl Into<Bytes>) -> Self {
        let pieces = vec![bytes.into()];
        Self { pieces, has_pauses: false, comes_back: false, has_small_window: false }
    }

    /// Sends the bytes in pieces of this size, and stays.
    pub(super) fn in_pieces(bytes: impl Into<Bytes>, piece_bytes: usize) -> Self {
        let mut rest = bytes.into();
        let mut pieces = Vec::new();
        while !rest.is_empty() {
            pieces.push(rest.split_to(rest.len().min(piece_bytes)));
        }
        Self { pieces, has_pauses: true, ..Self::whole(Bytes::new()) }
    }

    /// Sends the same bytes again and again.
    pub(super) fn repeated(bytes: impl Into<Bytes>, count: usize) -> Self {
        Self { pieces: vec![bytes.into(); count], ..Self::whole(Bytes::new()) }
    }

    /// Connects again whenever the connection is closed.
    pub(super) fn coming_back(self) -> Self {
        Self { comes_back: true, ..self }
    }

    /// Lets the rest of what the node sends wait there.
    pub(super) fn with_small_window(self) -> Self {
        Self { has_small_window: true, ..self }
    }

    async fn connect(&self, address: SocketAddr, turns: &Semaphore) -> Option<TcpStream> {
        let _turn = turns.acquire().await.expect("the turns are not closed");
        let socket = TcpSocket::new_v4().expect("there are descriptors left for the crowd");
        if self.has_small_window {
            socket.set_recv_buffer_size(SMALL_WINDOW_BYTES).expect(WORKS);
        }
        let stream = timeout(TIMEOUT, socket.connect(address)).await.ok()?.ok()?;
        sleep(CONNECT_TIME).await;
        Some(stream)
    }

    /// Sends as much as the node takes.
    async fn send(&self, stream: &mut TcpStream) {
        for piece in &self.pieces {
            match timeout(SEND_TIMEOUT, stream.write_all(piece)).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) | Err(_) => return,
            }
            if self.has_pauses {
                sleep(PIECE_PAUSE).await;
            }
        }
    }
}

/// Connections that follow a script until they are dropped.
pub(super) struct Crowd {
    members: Vec<JoinHandle<()>>,
    settled: Arc<AtomicUsize>,
}

impl Crowd {
    /// Starts `count` members at `address`.
    pub(super) fn start(address: SocketAddr, count: usize, script: &Script) -> Self {
        let settled = Arc::<AtomicUsize>::default();
        let turns = Arc::new(Semaphore::new(CONNECTING));
        let members = (0..count).map(|_| {
            let (script, turns, settled) = (script.clone(), turns.clone(), settled.clone());
            tokio::spawn(follow(script, address, turns, settled))
        });
        Self { members: members.collect(), settled }
    }

    /// Waits until each member has sent what the node takes, and a while longer: the node may still have to
    /// accept and to read.
    pub(super) async fn settle(&self) {
        wait_until("the crowd", TIMEOUT * 2, async || {
            self.settled.load(Ordering::Relaxed) >= self.members.len()
        })
        .await
        .expect(WORKS);
        sleep(STAY_TIME).await;
    }

    /// Closes all connections.
    pub(super) async fn close(self) {
        for member in &self.members {
            member.abort();
        }
        for member in self.members {
            // An aborted task ends with an error.
            let _ = member.await;
        }
    }
}

async fn follow(
    script: Script,
    address: SocketAddr,
    turns: Arc<Semaphore>,
    settled: Arc<AtomicUsize>,
) {
    let mut is_counted = false;
    loop {
        let mut stream = script.connect(address, &turns).await;
        if let Some(stream) = &mut stream {
            script.send(stream).await;
        }
        if !is_counted {
            settled.fetch_add(1, Ordering::Relaxed);
            is_counted = true;
        }
        match &mut stream {
            Some(stream) if script.comes_back => wait_for_close(stream).await,
            Some(_) => std::future::pending().await,
            None => {}
        }
        drop(stream);
        sleep(RETURN_PAUSE).await;
    }
}

async fn wait_for_close(stream: &mut TcpStream) {
    let mut discarded = [0; 1_024];
    while matches!(stream.read(&mut discarded).await, Ok(1..)) {}
}
