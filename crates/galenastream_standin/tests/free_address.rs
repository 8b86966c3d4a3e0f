//! Addresses of a deployment are given out once.

use galenastream_ownership::FastSet;
use galenastream_standin::free_address;

#[test]
fn no_address_is_given_out_twice() {
    let mut seen = FastSet::default();
    for _ in 0..1_000 {
        let address = free_address().unwrap();
        assert!(seen.insert(address), "{address} was given out twice");
    }
}
