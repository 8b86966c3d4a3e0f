//! Runs the tests of one program one after the other.

use tokio::sync::{Mutex, MutexGuard};

static TURN: Mutex<()> = Mutex::const_new(());

/// Waits for the turn of a test that loads the machine. It lasts as long as the guard.
pub async fn take_turn() -> MutexGuard<'static, ()> {
    TURN.lock().await
}
