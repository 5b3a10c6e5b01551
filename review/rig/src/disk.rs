//! A search, not a case: does a store that has reached its bound take new requests again once all is expired?

use crate::Verdict;
use crate::client::Answer;
use crate::engine::Work;
use crate::record::Record;
use crate::world::{Plan, World};
use std::sync::Arc;

pub fn play(record: &Arc<Record>) -> Verdict {
    let settings = crate::server::SETTINGS
        .replace("\"memory_kb\": 100000.0", "\"memory_kb\": 10000000.0")
        .replace("\"class_calls\": [true, true]", "\"class_calls\": [true, false]");
    let mut world = World::new(
        record,
        Plan {
            servers: 1,
            settings,
            works: vec![Work { class: "book", before_ms: 1, calls: 0, after_ms: 1 }],
            call_ms: 10,
            class: "book",
            keyed: true,
            allow_ms: 4_000,
            budget: None,
        },
    );
    let store = world.nodes[0].server.file("kept");
    std::fs::create_dir_all(&store).unwrap();
    let operator = format!(
        "[pools]\nenabled = on\n[kept-results]\nenabled = on\ndirectory = {}\ndisk_mb = 1\n",
        store.display()
    );
    world.nodes[0].server.write_operator(&operator);
    if let Err(verdict) = world.start() {
        return verdict;
    }
    world.load(0, 500);
    for _ in 0..12 {
        world.sleep(5_000);
        let tries = world.tries.lock().unwrap();
        let last = &tries[tries.len().saturating_sub(400)..];
        let refused = last.iter().filter(|t| matches!(t.answers.first(), Some((_, Answer::Refused)))).count();
        println!("{} ms: {} sent, {refused} of the last 400 refused", record.ms(), tries.len());
    }
    world.load(0, 0);
    world.sleep(70_000);
    for _ in 0..3 {
        let before = world.tries.lock().unwrap().len();
        world.load(0, 5);
        world.sleep(5_000);
        let tries = world.tries.lock().unwrap();
        let refused = tries[before..]
            .iter()
            .filter(|t| matches!(t.answers.first(), Some((_, Answer::Refused))))
            .count();
        println!("later: {} sent, {refused} refused", tries.len() - before);
    }
    for entry in std::fs::read_dir(&store).unwrap().flatten() {
        println!("{:?} {}", entry.file_name(), entry.metadata().unwrap().len());
    }
    world.end();
    Verdict::Held
}
