//! Measures the selection of backends in comparison with the same selection without shared
//! observations, least in flight with simple retries, and round robin without ejection.
//!
//!     cargo run --release -p madderbay-testkit --example backends simulated [SERVERS BACKENDS [CASE [SEEDS]]]
//!     cargo build --release && cargo run --release -p madderbay-testkit --example backends real
//!     ... backends trace CASE [SEED]       one case, second by second, with what was ejected and why

mod cases;
mod real;
mod simulated;

/// Number of seeds for each case, unless the command line gives another one.
const SEEDS: u64 = 3;
/// Numbers of servers and backends of the fleets, unless the command line gives others.
const FLEETS: [(usize, usize); 4] = [(5, 10), (12, 100), (300, 10), (300, 100)];

fn main() {
    let mut arguments = std::env::args().skip(1);
    let mode = arguments.next().unwrap_or_default();
    let rest: Vec<String> = arguments.collect();
    let number = |index: usize| {
        let word = rest.get(index)?;
        word.parse::<usize>().ok()
    };
    match mode.as_str() {
        "simulated" => match (number(0), number(1)) {
            (Some(servers), Some(backends)) => {
                let only = rest.get(2).map_or("", String::as_str);
                let seeds = number(3).map_or(SEEDS, |seeds| seeds as u64);
                simulated::measure(servers, backends, only, seeds);
            }
            _ => {
                for (servers, backends) in FLEETS {
                    simulated::measure(servers, backends, "", SEEDS);
                }
            }
        },
        "trace" => {
            let case = rest.first().map_or("", String::as_str);
            simulated::trace(case, number(1).unwrap_or(0) as u64);
        }
        "real" => real::measure(),
        _ => eprintln!("backends: first argument must be simulated, real or trace"),
    }
}
