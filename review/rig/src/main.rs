//! Plays the cases of the review: `rig CASE FOLDER` writes FOLDER/record.txt and ends with 1 if the rule
//! was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 the disruption is left out.

mod cases;
mod catalogue;
mod client;
mod disk;
mod engine;
mod explore;
mod later;
mod record;
mod registry;
mod server;
mod text;
mod world;

use std::process::ExitCode;

/// What a play has found.
pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, rest @ ..] = &arguments[..] else {
        eprintln!("rig CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match record::Record::create(&format!("{folder}/record.txt")) {
        Ok(record) => std::sync::Arc::new(record),
        Err(error) => {
            eprintln!("{folder}/record.txt: {error}");
            return ExitCode::from(2);
        }
    };
    // A case runs for 120 seconds at most; searches may run longer.
    let limit = if case == "disk" { 300 } else { 115 };
    server::end_after(std::time::Duration::from_secs(limit));
    let verdict = match case.as_str() {
        "disk" => disk::play(&record),
        "explore" => explore::play(&record, rest, trouble),
        "lease" => cases::restart_with_shorter_lease(&record, trouble),
        "servers" => cases::reload_with_fewer_servers(&record, trouble),
        "closed" => cases::calls_on_closed_connections(&record, trouble),
        "paused" => cases::paused_lessee(&record, trouble),
        "drain" => cases::pause_in_drain(&record, trouble),
        _ => Verdict::NotRun(format!("no case {case}")),
    };
    match verdict {
        Verdict::Held => {
            record.say("the rule held");
            ExitCode::from(0)
        }
        Verdict::Broken(how) => {
            record.say(format!("the rule was broken: {how}"));
            ExitCode::from(1)
        }
        Verdict::NotRun(why) => {
            record.say(format!("not run: {why}"));
            ExitCode::from(2)
        }
    }
}
