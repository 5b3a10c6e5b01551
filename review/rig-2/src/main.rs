//! The stand-ins of the review's cases. One subcommand for each case: `review-rig-2 CASE FOLDER` plays it, writes
//! `record.txt` to the folder, and exits with 1 if a rule was broken, 0 if not, and 2 if the case could not run.
//! With `TROUBLE=0` in the environment the disruption is left out.

mod client;
mod engine;
mod explore;
mod explore_fleet;
mod kept_break;
mod peers;
mod server;
mod setup;
mod text;
mod world;

use std::time::Duration;

/// Longest time of a case; past it, it could not run.
const LIMIT: Duration = Duration::from_secs(115);

fn main() {
    let mut args = std::env::args().skip(1);
    let case = args.next().unwrap_or_default();
    let folder = args.next().unwrap_or_else(|| ".".into());
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        server::end_all();
        std::process::exit(2);
    });
    let code = std::panic::catch_unwind(|| match case.as_str() {
        "kept-break" => kept_break::run(&folder, trouble),
        "fleet" => explore_fleet::run(&folder),
        "explore" => explore::run(&folder),
        _ => {
            eprintln!("usage: review-rig-2 CASE FOLDER");
            2
        }
    });
    server::end_all();
    std::process::exit(code.unwrap_or(2));
}
