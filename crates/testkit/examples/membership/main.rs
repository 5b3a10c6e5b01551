//! Measures membership in comparison with all-to-all heartbeats and with the protocol without local
//! health.
//!
//!     cargo run --release -p madderbay-testkit --example membership simulated [SEEDS [MEMBERS [LOSS]]]
//!     cargo run --release -p madderbay-testkit --example membership hour
//!     cargo build --release && cargo run --release -p madderbay-testkit --example membership real [SEEDS]
//!     ... membership histories [COUNT]      ... membership flood      ... membership cost

mod heartbeats;
mod histories;
mod hour;
mod processes;
mod row;
mod simulated;

const DEFAULT_SEEDS: u64 = 5;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let mode = arguments.next().unwrap_or_default();
    let seeds = arguments.next().and_then(|seeds| seeds.parse().ok());
    let seeds = seeds.unwrap_or(DEFAULT_SEEDS);
    match mode.as_str() {
        "simulated" => {
            let members = arguments.next().and_then(|members| members.parse().ok());
            let loss = arguments.next().and_then(|loss| loss.parse().ok());
            simulated::measure(seeds, members, loss);
        }
        "histories" => histories::measure(seeds),
        "flood" => processes::measure_flood(),
        "cost" => processes::measure_idle_cost(),
        "hour" => hour::measure(),
        "real" => processes::measure(seeds),
        _ => eprintln!(
            "membership: first argument must be simulated, hour, real, histories, flood or cost"
        ),
    }
}
