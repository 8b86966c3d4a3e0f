//! Plays several runs at a time.

use std::sync::atomic::{AtomicUsize, Ordering};

/// How many runs are played at a time.
const WORKERS: usize = 4;

/// Calls `play` with each number below `count` and returns the failures.
pub fn in_parallel(count: usize, play: impl Fn(usize) -> Option<String> + Sync) -> Vec<String> {
    let next = AtomicUsize::new(0);
    let work = || {
        let mut failures = Vec::new();
        loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            if index >= count {
                return failures;
            }
            failures.extend(play(index));
        }
    };
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..WORKERS).map(|_| scope.spawn(work)).collect();
        workers.into_iter().flat_map(|it| it.join().expect("a run does not panic")).collect()
    })
}
