//! A row of the era that another writer has left.

use bytes::Bytes;
use galenastream_adapter::{Row, RowWrite};
use galenastream_node::{ControlEvent, ControlState, Effect};
use galenastream_wire::{EraRow, SharedRowKey};
use prost::Message;

use crate::{
    fixtures::{config, config_event, settings},
    simulation::at,
};

fn era_row(value: Vec<u8>, version: u64) -> Row {
    Row { key: SharedRowKey::Era.key(), value: Some(Bytes::from(value)), version }
}

/// Guards against a node that follows the rows no longer, so that all leases lapse, after another
/// writer has left a row of the era with a number that is too large, or that cannot be decoded.
#[test]
fn rows_are_confirmed_and_a_malformed_era_is_repaired() {
    for malformed in
        [EraRow { era: u64::MAX }.encode_to_vec(), EraRow { era: 1 }.encode_to_vec(), vec![0xff]]
    {
        let mut state = ControlState::new(settings(0), at(0));
        state.handle(ControlEvent::StoreReached(true), at(10));
        state.handle(config_event(config()), at(20));
        let rows = vec![era_row(malformed, 3)];
        state.handle(ControlEvent::Rows { rows, version: 3, confirmed_at: Some(at(30)) }, at(40));
        let empty =
            ControlEvent::Rows { rows: Vec::new(), version: 3, confirmed_at: Some(at(900)) };
        state.handle(empty, at(950));
        assert_eq!(state.sync_snapshot().confirmed_at, Some(at(900)));
        let effects = state.tick(at(1_000));
        let repairs = effects.iter().filter_map(|it| match it {
            Effect::Settle { expected, writes } => Some((expected, writes)),
            _ => None,
        });
        let repairs: Vec<_> = repairs.collect();
        assert_eq!(repairs.len(), 1, "{effects:?}");
        let (expected, writes) = repairs[0];
        assert_eq!(expected[0].version, 3);
        let value = Bytes::from(EraRow { era: 0 }.encode_to_vec());
        assert_eq!(writes, &[RowWrite::Put { key: SharedRowKey::Era.key(), value }]);
    }
}
