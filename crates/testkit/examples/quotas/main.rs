//! Measures the quotas of a fleet in comparison with fixed parts of the capacity and with one
//! central lessor, and compares replicated counters with the true counts.
//!
//!     cargo run --release -p madderbay-testkit --example quotas simulated [SERVERS]
//!     ... quotas simulated-histories [COUNT]      ... quotas counters
//!     cargo build --release && cargo run --release -p madderbay-testkit --example quotas real
//!     ... quotas histories [COUNT]      ... quotas slow-catalogue

mod central_lessor;
mod counters;
mod demand;
mod histories;
mod processes;
mod simulated;
mod slow_catalogue;

/// Number of simulated histories, unless the command line gives another one.
const SIMULATED_HISTORIES: u64 = 10_000;
/// Number of histories of real processes, unless the command line gives another one.
const REAL_HISTORIES: u64 = 200;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let mode = arguments.next().unwrap_or_default();
    let number = arguments.next();
    let number: Option<u64> = number.and_then(|number| number.parse().ok());
    match mode.as_str() {
        "simulated" => simulated::measure(number.map(|servers| servers as usize)),
        "simulated-histories" => histories::simulate(number.unwrap_or(SIMULATED_HISTORIES)),
        "counters" => counters::measure(),
        "slow-catalogue" => slow_catalogue::measure(),
        "real" => processes::measure(),
        "histories" => histories::run_processes(number.unwrap_or(REAL_HISTORIES)),
        _ => {
            eprintln!(
                "simulated, simulated-histories, counters, real, histories or slow-catalogue"
            );
        }
    }
}
