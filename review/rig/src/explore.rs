//! A search, not a case: one server under drawn troubles of its peers and repeats of keys.

use crate::Verdict;
use crate::catalogue::Catalogue;
use crate::client::{Answer, Client, Tries};
use crate::engine::{Engine, Work};
use crate::later::Later;
use crate::record::Record;
use crate::registry::Registry;
use crate::server::{Platform, SETTINGS, Server};
use crate::text::{Draw, base64};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

pub fn play(record: &Arc<Record>, rest: &[String], trouble: bool) -> Verdict {
    let seed: u64 = rest.first().and_then(|s| s.parse().ok()).unwrap_or(1);
    let kept = rest.iter().any(|word| word == "kept");
    let mut draw = Draw(seed);
    let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    let later = Later::start();
    let works = [
        Work { class: "search", before_ms: 3, calls: 1, after_ms: 2 },
        Work { class: "book", before_ms: 4, calls: 2, after_ms: 3 },
    ];
    let engine = Engine::start("e1", &works, &later, record);
    let catalogue = Catalogue::start(20, 200, &later, record);
    let registry = Registry::start();
    let settings = SETTINGS.replace("\"tip_multiple\": 5.0", "\"tip_multiple\": 20.0");
    let mut server = Server::new("n1", &folder, &settings, record);
    let mut platform = Platform {
        engine: engine.address,
        registry: registry.address,
        catalogue: catalogue.address_for("n1"),
    };
    let has = |word: &str| rest.iter().any(|other| other == word);
    if has("few") {
        server.sockets = 44;
    }
    server.write_config(&platform);
    let store = server.file("kept");
    std::fs::create_dir_all(&store).unwrap();
    let operator = if kept {
        format!("[pools]\nenabled = on\n[kept-results]\nenabled = on\ndirectory = {}\n", store.display())
    } else {
        "[pools]\nenabled = on\n[reserve]\npart = 0.1\n".into()
    };
    let mut backends = vec![];
    let mut operator = operator;
    if has("routes") {
        operator += "[routes]\nenabled = on\nrepeats = 1\n";
        for (class, name) in [("book", "a"), ("book", "b"), ("book", "c"), ("search", "d"), ("search", "e")] {
            let address = catalogue.address_for("n1");
            backends.push(address);
            operator += &format!("[backend {name}]\naddress = {address}\nhandlers = {class}\n");
        }
    }
    server.write_operator(&operator);
    server.start();
    if !server.wait_ready() {
        return Verdict::NotRun("the server is not ready".into());
    }
    if has("quiet") {
        std::thread::sleep(Duration::from_secs(45));
    }
    let tries: Tries = Arc::default();
    let mut clients: Vec<Client> = vec![];
    let mut keys: Vec<(String, String)> = vec![];
    let mut number = 0u64;
    let started = record.ms();
    let mut notice = None;
    let mut pause_at: Option<u64> = None;
    while record.ms() < started + 12_000 {
        if has("drainmix") && notice.is_none() && record.ms() > started + 4_000 + (seed % 7) * 100 {
            catalogue.set_call_ms(20 + draw.below(3_000));
            server.signal("TERM");
            notice = Some(record.ms());
        }
        if has("drainpause")
            && let Some(at) = notice
            && pause_at.is_none()
        {
            let wait = (seed * 97) % 2_900;
            if record.ms() >= at + wait {
                let length = 50 + draw.below(550);
                println!("pause of {length} ms, {} ms after the notice", record.ms() - at);
                pause_at = Some(record.ms());
                later.set_paused(true);
                server.signal("STOP");
                std::thread::sleep(Duration::from_millis(length));
                server.signal("CONT");
                later.set_paused(false);
            }
        }
        if notice.is_some_and(|at| record.ms() > at + 3_200) {
            break;
        }
        std::thread::sleep(Duration::from_millis(2 + draw.below(8)));
        clients.retain(Client::is_usable);
        if has("few") && draw.chance(10) && clients.len() > 1 {
            // A connection that rests until the server ends it.
            let resting = clients.swap_remove(0);
            std::mem::forget(resting);
        }
        if has("pause") && draw.chance(1) {
            server.signal("STOP");
            later.set_paused(true);
            std::thread::sleep(Duration::from_millis(50 + draw.below(550)));
            later.set_paused(false);
            server.signal("CONT");
        }
        if clients.len() < 6
            && let Ok(client) = Client::connect("n1", server.address, &engine, &tries, record)
        {
            clients.push(client);
        }
        let Some(client) = clients.get(draw.below(clients.len().max(1) as u64) as usize).cloned() else {
            continue;
        };
        number += 1;
        let reference = format!("{:08x}{:08x}", seed as u32, number);
        let allow = if has("tiny") && draw.chance(40) {
            1 + draw.below(60)
        } else if draw.chance(20) {
            60 + draw.below(200)
        } else {
            1_000 + draw.below(4_000)
        };
        let index = if draw.chance(30) {
            client.send("search", &reference, "", &base64(reference.as_bytes()), allow)
        } else {
            let (key, body) = if draw.chance(45) && !keys.is_empty() {
                let recent = keys.len().min(30) as u64;
                keys[keys.len() - 1 - draw.below(recent) as usize].clone()
            } else {
                let key = format!("{:016x}{:016x}", draw.next(), draw.next());
                keys.push((key.clone(), base64(key.as_bytes())));
                keys.last().unwrap().clone()
            };
            client.send("book", &reference, &key, &body, allow)
        };
        if !trouble {
            continue;
        }
        if let Some(index) = index
            && draw.chance(20)
        {
            let client = client.clone();
            later.after(draw.below(60), move || client.forget(index));
        }
        if draw.chance(3) {
            client.break_off();
        }
        if draw.chance(4) {
            engine.break_link();
        }
        if draw.chance(2) {
            catalogue.close_connections_at(platform.catalogue);
        }
        if has("routes") && draw.chance(6) {
            catalogue.close_connections_at(backends[draw.below(5) as usize]);
            catalogue.set_call_ms(if draw.chance(20) { 300 } else { 20 });
        }
        let moves = if has("moves") { 3 } else { 1 };
        if draw.chance(moves) && record.ms() > started + 1_500 {
            let old = platform;
            platform.engine = engine.listen_again();
            platform.catalogue = catalogue.address_for("n1");
            server.write_config(&platform);
            engine.close_address(old.engine);
            catalogue.close_address(old.catalogue);
            server.signal("HUP");
        }
        if rest.iter().any(|word| word == "kill") && draw.below(250) == 0 {
            server.kill();
            engine.restart();
            clients.clear();
            std::thread::sleep(Duration::from_millis(100));
            for one in tries.lock().unwrap().iter_mut() {
                one.gone |= one.answers.is_empty();
            }
            server.start();
            if !server.wait_ready() {
                return Verdict::NotRun("the server is not ready".into());
            }
        }
    }
    if notice.is_none() {
        std::thread::sleep(Duration::from_millis(5_500));
    }
    let ended_early = notice.is_none() && server.has_ended();
    if has("load") {
        for _ in 0..150 {
            std::thread::sleep(Duration::from_millis(4));
            clients.retain(Client::is_usable);
            if clients.len() < 4
                && let Ok(client) = Client::connect("n1", server.address, &engine, &tries, record)
            {
                clients.push(client);
            }
            if number % 150 == 75 {
                catalogue.set_call_ms(700 + draw.below(4000));
                server.signal("TERM");
            }
            number += 1;
            let reference = format!("{:08x}{:08x}", seed as u32, number + 100_000);
            let key = format!("{:016x}{:016x}", draw.next(), draw.next());
            if let Some(client) = clients.last() {
                client.send("book", &reference, &key, &base64(key.as_bytes()), 8_000);
            }
        }
    }
    server.signal("TERM");
    let ends = server.has_ended() || server.wait_end(3_500);
    std::thread::sleep(Duration::from_millis(100));
    server.record_log();
    let mut faults = vec![];
    if ended_early || !ends {
        faults.push(format!("ended early {ended_early}, ends {ends}"));
    }
    check(&tries, &engine, &mut faults);
    let keyed: Vec<String> =
        tries.lock().unwrap().iter().filter(|t| !t.key.is_empty()).map(|t| t.reference.clone()).collect();
    let mut bodies: HashMap<String, u32> = HashMap::new();
    for (_, _, body) in catalogue.fetched() {
        *bodies.entry(body).or_default() += 1;
    }
    for (body, count) in bodies {
        if count > 1 && keyed.iter().any(|id| body.ends_with(id.as_str())) {
            faults.push(format!("{body} made {count} times"));
        }
    }
    let counts = tries.lock().unwrap().iter().fold([0; 4], |mut counts, one| {
        match one.answers.first() {
            Some((_, Answer::Served(_))) => counts[0] += 1,
            Some((_, Answer::Refused)) => counts[1] += 1,
            Some((_, Answer::Failed(_))) => counts[2] += 1,
            None => counts[3] += 1,
        }
        counts
    });
    println!("served, refused, failed, none: {counts:?}; runs {}", engine.started.lock().unwrap().len());
    let _ = std::fs::remove_dir_all(folder);
    if faults.is_empty() { Verdict::Held } else { Verdict::Broken(faults.join("; ")) }
}

fn check(tries: &Tries, engine: &Engine, faults: &mut Vec<String>) {
    let tries = tries.lock().unwrap();
    let mut runs: HashMap<&str, u32> = HashMap::new();
    let started = engine.started.lock().unwrap();
    for (_, id) in started.iter() {
        *runs.entry(id).or_default() += 1;
    }
    let mut by_key: HashMap<&str, Vec<&crate::client::Try>> = HashMap::new();
    for one in tries.iter() {
        if one.answers.len() > 1 {
            faults.push(format!("{} answered {} times", one.reference, one.answers.len()));
        }
        if one.answers.is_empty() && !one.gone {
            faults.push(format!("{} not answered, connection lost {}", one.reference, one.lost_connection));
        }
        if let Some((ms, _)) = one.answers.first()
            && *ms > one.sent_ms + one.allow_ms + 150
            && !one.gone
        {
            faults.push(format!("{} answered late", one.reference));
        }
        let ran = runs.get(one.reference.as_str()).copied().unwrap_or(0);
        if ran > 1 || ran == 1 && matches!(one.answers.first(), Some((_, Answer::Refused))) {
            faults.push(format!("{} ran {ran} times, answers {:?}", one.reference, one.answers));
        }
        if let Some((_, Answer::Served(result))) = one.answers.first() {
            let own = |id: &str| *result == base64(format!("result of {id}").as_bytes());
            let shared = !one.key.is_empty()
                && tries.iter().any(|other| other.key == one.key && own(&other.reference));
            if !own(&one.reference) && !shared {
                faults.push(format!("{} got a foreign result", one.reference));
            }
        }
        if !one.key.is_empty() {
            by_key.entry(&one.key).or_default().push(one);
        }
    }
    for (key, tries) in by_key {
        let ran: Vec<&str> =
            tries.iter().map(|t| t.reference.as_str()).filter(|r| runs.contains_key(r)).collect();
        if ran.len() > 1 {
            faults.push(format!("key {key} ran as {ran:?}"));
        }
        if let Some(first) = ran.first() {
            let at = started.iter().find(|(_, id)| id == first).map_or(0, |(ms, _)| *ms);
            for one in &tries {
                if one.sent_ms > at + 100 && matches!(one.answers.first(), Some((_, Answer::Refused))) {
                    faults.push(format!("{} of key {key} refused after the run of {first}", one.reference));
                }
            }
        }
    }
}
