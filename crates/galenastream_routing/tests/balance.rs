//! The choice among members when one of them is slow for a while.

use std::net::{Ipv4Addr, SocketAddrV4};

use galenastream_ownership::VmId;
use galenastream_routing::{Candidate, MemberLoads};
use rand::{SeedableRng, rngs::StdRng};

const MEMBERS: u16 = 4;
const FAST_US: u64 = 5_000;
const SLOW_US: u64 = 50_000;
const REQUESTS_PER_SECOND: u32 = 500;

fn candidates() -> Vec<Candidate> {
    let vm = |port| VmId::from(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port));
    (0..MEMBERS).map(|index| Candidate { vm: vm(7000 + index), slots: 6 }).collect()
}

/// Sends the requests of some seconds, one after the other, and counts those of the first member.
fn run(loads: &mut MemberLoads, rng: &mut StdRng, seconds: u32, first_us: u64) -> u32 {
    let candidates = candidates();
    let mut of_first = 0;
    for _ in 0..seconds {
        loads.age();
        for _ in 0..REQUESTS_PER_SECOND {
            let vm = loads.choose(&candidates, rng).expect("there are candidates");
            let is_first = vm == candidates[0].vm;
            of_first += u32::from(is_first);
            loads.begin(vm);
            loads.finish(vm, if is_first { first_us } else { FAST_US });
        }
    }
    of_first
}

#[test]
fn a_slow_member_is_avoided_and_a_recovered_one_is_found_again() {
    for seed in 0..20 {
        let mut loads = MemberLoads::new();
        let mut rng = StdRng::seed_from_u64(seed);
        run(&mut loads, &mut rng, 5, FAST_US);
        run(&mut loads, &mut rng, 1, SLOW_US);
        let while_slow = run(&mut loads, &mut rng, 10, SLOW_US);
        assert!(while_slow < 10 * REQUESTS_PER_SECOND / 50, "seed {seed}: {while_slow}");
        run(&mut loads, &mut rng, 10, FAST_US);
        let recovered = run(&mut loads, &mut rng, 10, FAST_US);
        assert!(recovered > 10 * REQUESTS_PER_SECOND / 8, "seed {seed}: {recovered}");
    }
}
