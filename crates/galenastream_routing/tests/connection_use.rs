//! Tests of the choice of connections that make room for others.

use galenastream_routing::{
    ConnectionKey, ConnectionPhase, ConnectionUse, MemoryNeed, PortClients, connections_to_close,
    connections_to_free,
};
use galenastream_utils::BootInstant;

const KIB: usize = 1_024;

/// The instant of all choices.
const NOW_MS: u64 = 60_000;

fn at_ms(ms: u64) -> BootInstant {
    BootInstant::new(ms * 1_000_000)
}

/// A connection that has been in a phase, and without progress, for these times.
fn connection(key: u64, phase: ConnectionPhase, age_ms: u64, silence_ms: u64) -> ConnectionUse {
    ConnectionUse {
        key: ConnectionKey(key),
        phase,
        since: at_ms(NOW_MS - age_ms),
        progress_at: at_ms(NOW_MS - silence_ms),
        held_bytes: 64 * KIB,
    }
}

fn closed(uses: &[ConnectionUse], count: usize) -> Vec<u64> {
    closed_of(PortClients::Any, uses, count)
}

fn closed_of(clients: PortClients, uses: &[ConnectionUse], count: usize) -> Vec<u64> {
    let chosen = connections_to_close(uses.to_vec(), count, clients, at_ms(NOW_MS));
    chosen.into_iter().map(|it| it.0).collect()
}

fn freed(uses: &[ConnectionUse], need: MemoryNeed, bytes: usize) -> Vec<u64> {
    let chosen = connections_to_free(uses.to_vec(), need, bytes, at_ms(NOW_MS));
    chosen.into_iter().map(|it| it.0).collect()
}

/// Guards against crowds that keep ordinary clients from being accepted.
#[test]
fn connections_that_ordinary_clients_use_are_closed_last() {
    let uses = [
        connection(1, ConnectionPhase::Working, 30_000, 30_000),
        connection(2, ConnectionPhase::Sending, 20, 20),
        connection(3, ConnectionPhase::Receiving, 10, 10),
        connection(4, ConnectionPhase::Receiving, 30, 10),
        connection(5, ConnectionPhase::Sending, 3_000, 2_000),
        connection(6, ConnectionPhase::Idle, 50, 50),
        connection(7, ConnectionPhase::Idle, 9_000, 9_000),
        connection(8, ConnectionPhase::Receiving, 2_000, 1_500),
        connection(9, ConnectionPhase::Closing, 2_500, 10),
    ];
    assert_eq!(closed(&uses, 9), [9, 8, 7, 6, 5, 4, 3, 2]);
    assert_eq!(closed(&uses, 2), [9, 8]);
    assert_eq!(closed(&uses[..1], 9), [] as [u64; 0]);
}

/// Guards against crowds at the port of other nodes that take the connections between nodes.
#[test]
fn connections_that_nodes_use_are_closed_last() {
    let uses = [
        connection(1, ConnectionPhase::Idle, 900, 900),
        connection(2, ConnectionPhase::Receiving, 10, 10),
        connection(3, ConnectionPhase::Idle, 4_000, 4_000),
        connection(4, ConnectionPhase::Receiving, 2_000, 2_000),
    ];
    assert_eq!(closed_of(PortClients::Nodes, &uses, 4), [4, 3, 2, 1]);
    assert_eq!(closed_of(PortClients::Any, &uses, 4), [4, 3, 1, 2]);
}

/// Guards against clients that send a byte now and then to keep their connections.
#[test]
fn a_request_that_trickles_stalls_after_a_while() {
    let uses = [
        connection(1, ConnectionPhase::Receiving, 11_000, 10),
        connection(2, ConnectionPhase::Idle, 5_000, 5_000),
        connection(3, ConnectionPhase::Receiving, 5_000, 10),
    ];
    assert_eq!(closed(&uses, 3), [1, 2, 3]);
}

/// Guards against downloads that are cut off since they take long.
#[test]
fn a_long_answer_that_is_read_does_not_stall() {
    let phase = ConnectionPhase::Sending;
    let uses = [connection(1, phase, 30_000, 900), connection(2, phase, 2_000, 1_000)];
    assert_eq!(freed(&uses, MemoryNeed::Answer, KIB), [2]);
    assert_eq!(freed(&uses[..1], MemoryNeed::Answer, KIB), [] as [u64; 0]);
}

#[test]
fn memory_is_taken_from_the_oldest_stalled_connections_of_a_phase() {
    let phase = ConnectionPhase::Receiving;
    let uses = [
        connection(1, phase, 2_000, 2_000),
        connection(2, phase, 4_000, 4_000),
        connection(3, phase, 9_000, 10),
        connection(4, ConnectionPhase::Sending, 8_000, 8_000),
        connection(5, phase, 3_000, 3_000),
    ];
    assert_eq!(freed(&uses, MemoryNeed::ShortRequest, 64 * KIB), [2]);
    assert_eq!(freed(&uses, MemoryNeed::ShortRequest, 65 * KIB), [2, 5]);
    assert_eq!(freed(&uses, MemoryNeed::ShortRequest, 192 * KIB), [2, 5, 1]);
    assert_eq!(freed(&uses, MemoryNeed::Answer, KIB), [4]);
}

/// Guards against connections that are closed although that does not make enough room.
#[test]
fn nothing_is_closed_if_it_does_not_suffice() {
    let phase = ConnectionPhase::Receiving;
    let uses = [connection(1, phase, 2_000, 2_000), connection(2, phase, 2_000, 10)];
    assert_eq!(freed(&uses, MemoryNeed::ShortRequest, 65 * KIB), [] as [u64; 0]);
}

/// Guards against uploads of ordinary clients that close each other while their VM is slow, and against
/// stalled ones that keep all room for long bodies.
#[test]
fn long_bodies_wait_longer_for_each_other() {
    let phase = ConnectionPhase::Receiving;
    let uses = [
        connection(1, phase, 20_000, 3_000),
        connection(2, phase, 30_000, 5_000),
        connection(3, phase, 60_000, 10),
    ];
    let freed_for_long = |bytes| freed(&uses, MemoryNeed::LongRequest, bytes);
    assert_eq!(freed_for_long(KIB), [3]);
    assert_eq!(freed_for_long(128 * KIB), [3, 2]);
    assert_eq!(freed_for_long(129 * KIB), [] as [u64; 0]);
}
