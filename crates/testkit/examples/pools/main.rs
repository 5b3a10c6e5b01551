//! Compares the program with and without pools, run against fakes on loopback:
//!
//!     cargo build --release && cargo run --release -p madderbay-testkit --example pools limits [SEEDS [VARIANT]]
//!     ... pools quotas [SEEDS [QUOTA]]
//!
//! The engine has 4 cores, the catalogue has 8 slots (25 ms a call), and 90 requests arrive per
//! second. From the 5th to the 13th second the catalogue is 20 times slower; for the first 5 of
//! these seconds 1.6 times as many requests arrive.

mod limits;
mod quotas;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let mode = arguments.next().unwrap_or_default();
    let seeds = arguments.next().and_then(|seeds| seeds.parse().ok());
    let only = arguments.next();
    match mode.as_str() {
        "limits" => limits::measure(seeds, only.as_deref()),
        "quotas" => quotas::measure(seeds, only.and_then(|quota| quota.parse().ok())),
        _ => eprintln!("pools: first argument must be limits or quotas"),
    }
}
