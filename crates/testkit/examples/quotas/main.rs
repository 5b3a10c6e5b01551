//! Measures budgets shared over a fleet beside fixed parts and beside one giver elected by the
//! view, and counts against the truth.
//!
//!     cargo run --release -p madderbay-testkit --example quotas simulated [SERVERS]
//!     ... quotas drawn [COUNT]      ... quotas counts
//!     cargo build --release && cargo run --release -p madderbay-testkit --example quotas real
//!     ... quotas histories [COUNT]      ... quotas trouble

mod budget;
mod central_lessor;
mod counts;
mod histories;
mod processes;
mod simulated;
mod slow_catalogue;

/// Histories that are drawn, unless the command line says otherwise.
const SIMULATED_HISTORIES: u64 = 10_000;
const REAL_HISTORIES: u64 = 200;

fn main() {
    let mut args = std::env::args().skip(1);
    let what = args.next().unwrap_or_default();
    let number: Option<u64> = args.next().and_then(|number| number.parse().ok());
    match what.as_str() {
        "simulated" => simulated::measure(number.map(|servers| servers as usize)),
        "drawn" => histories::simulate(number.unwrap_or(SIMULATED_HISTORIES)),
        "counts" => counts::measure(),
        "trouble" => slow_catalogue::measure(),
        "real" => processes::measure(),
        "histories" => histories::run_processes(number.unwrap_or(REAL_HISTORIES)),
        _ => eprintln!("simulated, drawn, counts, real, histories or trouble"),
    }
}
