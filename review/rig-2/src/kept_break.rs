//! Case 6: the link to the engine breaks in the middle of notices, with durable results on.

use crate::client::{Ask, Connection};
use crate::engine::Work;
use crate::setup::Setup;
use crate::text::{Random, base64};
use crate::world::{Answer, World};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time of load.
const LOAD: Duration = Duration::from_secs(40);
/// Requests with a key in a second.
const PER_SECOND: u64 = 100;

/// Plays the case. Returns the exit status.
pub fn run(folder: &str, trouble: bool) -> i32 {
    // Runs of 2 to 6 ms: those of the day that brings six times as many requests.
    let work = Work {
        micros: (2_000, 6_000),
        calls: HashMap::new(),
        halts: true,
        result_bytes: 300,
    };
    let kept = "[kept-results]\nenabled = on\ndirectory = FOLDER/kept\n";
    let mut setup = Setup::new(work, false, kept);
    let Some(mut server) = setup.start() else {
        return 2;
    };
    let world = setup.world.clone();
    let mut connections = vec![];
    for sender in 0..3 {
        let Ok(connection) = Connection::open(&world, setup.listen, sender, 1) else {
            return 2;
        };
        connections.push(connection);
    }
    let mut random = Random::new(6);
    let until = Instant::now() + LOAD;
    let mut next_break = Instant::now() + Duration::from_secs(1);
    while Instant::now() < until {
        let ask = Ask {
            class: "book".into(),
            key: Some(world.new_key()),
            body: base64(format!("book {}", random.next()).as_bytes()),
            allow_ms: 4000,
            room: 10.0,
            effort_ms: 4.0,
        };
        connections[random.below(3) as usize].send(&ask);
        if trouble && Instant::now() >= next_break {
            next_break = Instant::now() + Duration::from_millis(1_500 + random.below(1_500));
            setup.engine.break_in_next_end();
        }
        std::thread::sleep(Duration::from_micros(random.below(2_000_000 / PER_SECOND)));
    }
    std::thread::sleep(Duration::from_secs(2));
    let status = server.ended();
    server.kill();
    judge(&world, status.is_some());
    let twice = world.with(|t| t.broken.len());
    world.save(&format!("{folder}/record.txt"));
    i32::from(twice > 0)
}

/// Looks for tries that ran twice. All of them belong to different requests.
fn judge(world: &World, has_ended: bool) {
    if has_ended {
        world.broken("the server has ended by itself");
    }
    let tries = world.with(|t| t.tries.clone());
    let served = tries
        .values()
        .filter(|t| matches!(t.answer, Some(Answer::Served(_))))
        .count();
    world.note(format!(
        "{} requests with a key, {served} served",
        tries.len()
    ));
    for (name, sent) in tries {
        if sent.runs.len() > 1 {
            let key = sent.key.unwrap_or_default();
            world.broken(format!(
                "request {name} with the key {key} ran {} times",
                sent.runs.len()
            ));
        }
    }
    let twice = world.with(|t| t.broken.len());
    let all = world.with(|t| t.tries.len());
    println!("{served} of {all} served, {twice} ran twice");
}
