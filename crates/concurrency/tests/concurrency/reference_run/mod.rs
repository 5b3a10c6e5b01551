//! Replays event sequences with fixed seeds, and compares limits and ceilings, bit for bit, with
//! recorded ones.
//!
//! The recordings in `data` were written before the crate was restructured. They list each change
//! of a limit, and end with a hash of the state after every step, so that any difference in
//! arithmetic, in random draws or in their order makes a test fail. A deliberate change of the
//! algorithm requires new recordings.

mod configs;
mod random_calls;
mod random_requests;
mod scenarios;

use madderbay_concurrency::AdjustmentCause;

/// Panic message for a failed write to a `String`, which cannot occur.
const STRING_WRITE_SUCCEEDS: &str = "writing to a string succeeds";

/// A 64-bit FNV-1a hash.
struct Digest(u64);

impl Digest {
    fn new() -> Digest {
        Digest(0xcbf2_9ce4_8422_2325)
    }

    fn add(&mut self, word: u64) {
        for byte in word.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
}

/// Returns the name of a cause in the recordings, which differs from that in log lines.
fn recorded_name(cause: AdjustmentCause) -> &'static str {
    match cause {
        AdjustmentCause::Queueing => "crowded",
        AdjustmentCause::ProbeReverted => "slower",
        AdjustmentCause::Demand => "wanted",
        AdjustmentCause::Failures => "failing",
        AdjustmentCause::Silence => "silent",
        AdjustmentCause::CircuitOpened => "resting",
        AdjustmentCause::CircuitHalfOpen => "tried",
    }
}

fn assert_same_lines(replayed: &str, recorded: &str) {
    for (number, (new, old)) in replayed.lines().zip(recorded.lines()).enumerate() {
        assert_eq!(new, old, "line {}", number + 1);
    }
    assert_eq!(
        replayed.lines().count(),
        recorded.lines().count(),
        "number of lines"
    );
}
