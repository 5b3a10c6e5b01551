//! Measures durable results on the real program, run against fakes on loopback:
//!
//!     cargo build --release && cargo run --release -p madderbay-testkit --example durable_results [HISTORIES]
//!
//! The first part is the cost: response times, writes and processor time at several rates, and the
//! time of a recovery. The second part executes histories: in each, a server is killed at a random
//! moment while it handles bookings, restarted, and sent each request again. A booking is a run in
//! the engine, and no request may be booked twice.

mod cost;
mod histories;
mod recovery;
mod site;

/// Number of histories, unless the command line gives another one.
const DEFAULT_HISTORIES: u64 = 500;

fn main() {
    let histories = std::env::args().nth(1);
    let histories = histories.and_then(|histories| histories.parse().ok());
    // The cost is measured first, because the fakes of the histories keep running until the end.
    cost::measure();
    recovery::measure();
    histories::measure(histories.unwrap_or(DEFAULT_HISTORIES));
}
