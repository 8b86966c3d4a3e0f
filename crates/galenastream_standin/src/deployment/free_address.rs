//! Addresses for the processes of a deployment.

use std::{
    net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket},
    ops::Range,
    sync::{
        LazyLock,
        atomic::{AtomicU32, Ordering},
    },
};

use anyhow::bail;
use rand::RngExt;

/// Ports for processes. They lie below those that the system gives to outgoing connections, one of
/// which could otherwise take a port before the process that it is meant for.
const PORTS: Range<u32> = 10_000..32_000;

/// How often a free port is looked for before giving up.
const PORT_TRIES: u32 = 1_000;

/// Counts the ports that this process has given out. It starts anywhere, so that two programs that
/// start deployments at the same time keep apart.
static NEXT: LazyLock<AtomicU32> =
    LazyLock::new(|| AtomicU32::new(rand::rng().random_range(PORTS)));

/// Finds a loopback address whose port is free for both TCP and UDP. Gives out none twice, since
/// the process that an address is meant for listens there only later.
pub fn free_address() -> anyhow::Result<SocketAddrV4> {
    for _ in 0..PORT_TRIES {
        let port = next_port();
        let is_free = TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok()
            && UdpSocket::bind((Ipv4Addr::LOCALHOST, port)).is_ok();
        if is_free {
            return Ok(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port));
        }
    }
    bail!("found no port that is free for both TCP and UDP; end processes that hold many ports")
}

fn next_port() -> u16 {
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let offset = number % (PORTS.end - PORTS.start);
    u16::try_from(PORTS.start + offset).unwrap_or(u16::MAX)
}
