//! A search over drawn troubles; no case of the review, but the way in which some were found.

use crate::client::{Ask, Connection};
use crate::engine::{Engine, Work, is_result_of};
use crate::peers::{Catalogue, registry};
use crate::server::{Peers, SIGCONT, SIGHUP, SIGSTOP, SIGTERM, Server, free_address, write_config};
use crate::text::{Random, base64, unix_ms};
use crate::world::{Answer, World};
use std::collections::HashMap;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

const WINDOW_MS: u64 = 6000;

fn settings(halt: &str, passes: bool, window: u64, share: f64, memory: f64) -> String {
    format!(
        r#"{{
  "classes": [
   {{"name": "search", "aim_us": 1000000, "hard_limit_us": 3000000, "importance": 1.0, "effect": "read_like"}},
   {{"name": "quote", "aim_us": 1000000, "hard_limit_us": 3000000, "importance": 1.0, "effect": "read_like"}},
   {{"name": "book", "aim_us": 1500000, "hard_limit_us": 3000000, "importance": 3.0,
    "effect": "idempotency_key", "repeat_window_us": {}}},
   {{"name": "close", "aim_us": 1500000, "hard_limit_us": 3000000, "importance": 3.0, "effect": "non_idempotent"}}],
  "tenants": [{{"name": "acme", "allowance_per_s": 500.0}}],
  "family_info": {{"n_cores": 6, "memory_kb": {memory}, "blowup": 4.0, "key_kb": 1.0, "preemption": "{halt}",
   "below": "one_for_all", "dep_share": {share}, "share_span_us": 5000000, "linger_us": 200000,
   "class_calls": [true, false, true, true], "class_skip_worth": [0.6, 0.0, 0.0, 0.0], "passes_deadline": {passes}, "readiness": true,
   "say": "allowance", "upstreams": 3, "keepalive_max_us": 30000000,
   "meters": ["core_use", "on_cores", "heap_share", "links"]}},
  "permissions": {{"retry_after": true, "max_retry_after_us": 1000000}},
  "rules": {{"tip_multiple": 5.0, "drain_grace_us": 2000000}}, "servers": 4}}"#,
        window * 1000
    )
}

pub fn run(folder: &str) -> i32 {
    let env = |n: &str, d: u64| {
        std::env::var(n)
            .ok()
            .and_then(|v| v.parse().ok())
            .unwrap_or(d)
    };
    let seed = env("SEED", 1);
    // kept, breaks, catalogue, moves, pauses, forgets, closes, kills, drain
    let has = |name: &str| {
        std::env::var("WITH")
            .unwrap_or_default()
            .split(',')
            .any(|w| w == name)
    };
    let mut random = Random::new(seed);
    let world = World::new();
    let halt = if has("vary") {
        ["none", "freeze", "discard"][random.below(3) as usize]
    } else {
        "freeze"
    };
    let passes = !has("vary") || random.chance(500);
    let window = if has("vary") {
        [400, 2000, 6000][random.below(3) as usize]
    } else {
        WINDOW_MS
    };
    let text = settings(
        halt,
        passes,
        window,
        if has("tight") { 2.0 } else { 20.0 },
        if has("heavy") { 6000.0 } else { 40000.0 },
    );
    let dir = std::env::temp_dir().join(format!("review-2-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(dir.join("kept")).unwrap();
    let calls: HashMap<String, u32> = [
        ("search", 1),
        ("book", env("BOOK_CALLS", 1) as u32),
        ("close", 1),
    ]
    .into_iter()
    .map(|(c, n)| (c.to_string(), n))
    .collect();
    let work = Work {
        micros: (env("LOW", 1000), env("HIGH", 12000)),
        calls,
        halts: halt != "none",
        result_bytes: env("RESULT", 300) as usize,
    };
    let mut engine = Engine::start(&world, "127.0.0.1:0", seed, work.clone());
    let catalogue = Catalogue::start(&world, seed + 1);
    if has("catalogue") {
        catalogue.habits.later.store(40, Relaxed);
        catalogue.habits.fault.store(20, Relaxed);
        catalogue.habits.reset.store(20, Relaxed);
        catalogue.habits.twice.store(100, Relaxed);
        catalogue.habits.spoilt.store(20, Relaxed);
        catalogue.habits.micros.store(4000, Relaxed);
    }
    if has("silent") {
        catalogue.habits.silent.store(60, Relaxed);
    }
    let registry = registry(&world);
    let listen = free_address();
    let config = dir.join("config.json");
    let mut peers = Peers {
        engine: engine.address,
        registry,
        catalogue: catalogue.address,
    };
    write_config(&config, listen, peers, 3200, &text);
    let operator = dir.join("operator.ini");
    let mut op = String::new();
    if has("kept") {
        op += &format!(
            "[kept-results]\nenabled = on\ndirectory = {}\nsync = {}\n",
            dir.join("kept").display(),
            if random.chance(500) {
                "each"
            } else {
                "grouped"
            }
        );
        if has("small") {
            op += "disk_mb = 1\nmemory_mb = 1\n";
        }
    }
    if has("pools") {
        op += "[pools]\nenabled = on\n[reserve]\npart = 0.1\n";
    }
    if has("full") {
        op += &format!(
            "[members]\nenabled = on\nlisten = {0}\n[shared]\nenabled = on\nseat = 1\n[budget tb]\nhandlers = book\ncalls = 9\nservers = 1\nlease_ms = 200\nlongest_ms = 500\n[budget t2]\nhandlers = close, search\ncalls = 9\nservers = 1\nlease_ms = 200\nlongest_ms = 500\n[count tenants]\nby = tenant\nwindow_s = 1\n[control]\nsocket = {1}\n",
            free_address(),
            dir.join("sock").display()
        );
    }
    let base_op = op.clone();
    let spare: Vec<_> = (0..5).map(|_| catalogue.also_listen()).collect();
    if has("routes") {
        let b2 = catalogue.also_listen();
        let b3 = catalogue.also_listen();
        op += &format!(
            "[routes]\nenabled = on\n[backend a]\naddress = {}\nhandlers = book, close, search\n[backend b]\naddress = {b2}\nhandlers = book, close, search\n[backend c]\naddress = {b3}\nhandlers = book, close, search\n",
            catalogue.address
        );
    }
    std::fs::write(&operator, op).unwrap();
    let mut server = Server::start(&world, &config, &operator, listen, &dir.join("log"));
    if !server.wait_listening() {
        return 2;
    }
    std::thread::sleep(Duration::from_millis(300));
    if has("rough") {
        engine.set_rough();
    }
    if has("long") {
        std::thread::sleep(Duration::from_secs(45));
    }
    let until = Instant::now() + Duration::from_millis(env("MS", 8000));
    if has("idle") {
        for i in 0..env("IDLE", 60) {
            std::thread::spawn(move || {
                use std::io::Read;
                let mut r = Random::new(i);
                while Instant::now() < until {
                    if let Ok(mut s) =
                        std::net::TcpStream::connect_timeout(&listen, Duration::from_millis(500))
                    {
                        let _ =
                            s.set_read_timeout(Some(Duration::from_millis(200 + r.below(3000))));
                        let mut b = [0; 100];
                        let _ = s.read(&mut b);
                    }
                    std::thread::sleep(Duration::from_millis(r.below(30)));
                }
            });
        }
    }
    let peak = std::sync::Arc::new(std::sync::Mutex::new((0f64, 0f64, 0f64)));
    let held = catalogue.held.clone();
    {
        let (e, p, w2) = (engine.clone(), peak.clone(), world.clone());
        std::thread::spawn(move || {
            let mut mean = 0.0;
            let mut last = std::collections::VecDeque::new();
            loop {
                last.push_back(held.load(Relaxed) as f64);
                if last.len() > 490 {
                    last.pop_front();
                    let m5 = last.iter().sum::<f64>() / last.len() as f64;
                    let mut p = p.lock().unwrap();
                    p.2 = p.2.max(m5);
                }
                let (c, m) = e.load();
                mean += (c as f64 - mean) * 0.02;
                let mut p = p.lock().unwrap();
                p.0 = p.0.max(mean);
                if m > p.1 {
                    p.1 = m;
                    if m > 5500.0 {
                        w2.note(format!("memory {m} on cores {c}"));
                    }
                }
                drop(p);
                std::thread::sleep(Duration::from_millis(10));
            }
        });
    }
    let mut life = 1;
    let mut conns: Vec<Connection> = vec![];
    let mut keys: Vec<(String, String, String)> = vec![];
    let rate_ms = env("EVERY_US", 5000);
    let mut lenient: Vec<(u64, u64)> = vec![];
    if has("bad") {
        for i in 0..4 {
            let w = world.clone();
            let until = until;
            let s = seed * 10 + i;
            std::thread::spawn(move || bad_client(&w, listen, until, s));
        }
    }
    let mut drained = None;
    while Instant::now() < until {
        conns.retain(|c| !c.is_closed());
        while conns.len() < env("CONNS", 3) as usize {
            match Connection::open(&world, listen, conns.len() as u64, life) {
                Ok(c) => conns.push(c),
                Err(_) => std::thread::sleep(Duration::from_millis(5)),
            }
            if server.ended().is_some() {
                break;
            }
        }
        if let Some(status) = server.ended() {
            world.broken(format!("the server ended: {status}"));
            break;
        }
        let pick = random.below(100);
        let class = if pick < 20 {
            "search"
        } else if pick < 30 {
            "quote"
        } else if pick < 80 {
            "book"
        } else {
            "close"
        };
        let mut ask = Ask {
            class: class.into(),
            key: None,
            body: base64(format!("body {}", random.next()).as_bytes()),
            allow_ms: 3000,
            room: if has("heavy") {
                25.0 + random.below(30) as f64
            } else {
                10.0
            },
            effort_ms: 8.0,
        };
        if has("stall") {
            let phase = world.started.elapsed().as_millis() / 1500 % 2;
            catalogue
                .habits
                .micros
                .store(if phase == 1 { 400_000 } else { 3_000 }, Relaxed);
        }
        if has("short") && random.chance(200) {
            ask.allow_ms = 20 + random.below(200);
        }
        if class == "book" {
            if !keys.is_empty() && random.chance(400) {
                let back = random.below(60.min(keys.len() as u64)) as usize;
                let (key, body, _) = keys[keys.len() - 1 - back].clone();
                ask.key = Some(key);
                ask.body = body;
            } else {
                let key = world.new_key();
                ask.key = Some(key.clone());
                keys.push((key, ask.body.clone(), String::new()));
            }
        }
        let c = conns[random.below(conns.len() as u64) as usize].clone();
        let name = c.send(&ask);
        if has("forgets")
            && random.chance(250)
            && let Some(name) = name
        {
            let c = c.clone();
            let wait = random.below(30);
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(wait));
                c.forget(&name);
            });
        }
        if has("slow") && random.chance(4) {
            engine.set_slow([1, 10, 0][random.below(3) as usize]);
        }
        if has("closes") && random.chance(8) {
            c.close();
        }
        if has("breaks") && random.chance(25) {
            let e = engine.clone();
            let lost = random.below(40);
            std::thread::spawn(move || e.break_link(Duration::from_millis(lost)));
        }
        if has("moves") && random.chance(4) {
            peers.engine = engine.also_listen();
            peers.catalogue = catalogue.also_listen();
            write_config(&config, listen, peers, 3200, &text);
            server.signal(SIGHUP);
            world.note("SIGHUP");
        }
        if has("reloads") && random.chance(15) {
            let mut text =
                base_op.replace("calls = 9", &format!("calls = {}", 1 + random.below(20)));
            if has("full") && random.chance(200) {
                text = text.replace("[budget tb]", "[budget tc]");
            }
            if has("routes") {
                text += "[routes]\nenabled = on\n";
                let mut any = false;
                for (i, a) in spare.iter().enumerate() {
                    if random.chance(500) || (i == 4 && !any) {
                        any = true;
                        let h = ["book, close, search", "book", "close, search"][if has("groups") {
                            random.below(3) as usize
                        } else {
                            0
                        }];
                        text += &format!(
                            "[backend n{}]\naddress = {a}\nweight = {}\nhandlers = {h}\n",
                            random.below(3) * 10 + i as u64,
                            1 + random.below(3)
                        );
                    }
                }
            }
            let new = operator.with_extension("new");
            std::fs::write(&new, text).unwrap();
            std::fs::rename(&new, &operator).unwrap();
            server.signal(SIGHUP);
        }
        if has("pauses") && random.chance(6) {
            let from = unix_ms();
            server.signal(SIGSTOP);
            std::thread::sleep(Duration::from_millis(50 + random.below(450)));
            server.signal(SIGCONT);
            lenient.push((from, unix_ms()));
        }
        if has("graceful") && random.chance(2) {
            world.note("SIGTERM, then a restart");
            server.signal(SIGTERM);
            let end = Instant::now() + Duration::from_millis(3300);
            while Instant::now() < end && server.ended().is_none() {
                conns.retain(|c| !c.is_closed());
                if conns.len() < 3
                    && let Ok(c) = Connection::open(&world, listen, 1, life)
                {
                    conns.push(c);
                }
                if let Some(c) = conns.get(random.below(3) as usize) {
                    let mut ask = Ask {
                        class: "book".into(),
                        key: None,
                        body: base64(format!("body {}", random.next()).as_bytes()),
                        allow_ms: 3000,
                        room: 10.0,
                        effort_ms: 8.0,
                    };
                    if random.chance(500) && !keys.is_empty() {
                        let back = random.below(60.min(keys.len() as u64)) as usize;
                        let (key, body, _) = keys[keys.len() - 1 - back].clone();
                        ask.key = Some(key);
                        ask.body = body;
                    } else {
                        let key = world.new_key();
                        ask.key = Some(key.clone());
                        keys.push((key, ask.body.clone(), String::new()));
                    }
                    let name = c.send(&ask);
                    if random.chance(300)
                        && let Some(name) = name
                    {
                        c.forget(&name);
                    }
                }
                std::thread::sleep(Duration::from_millis(3));
            }
            if server.ended().is_none() {
                world.broken("not ended in time");
            }
            server.kill();
            engine.kill();
            std::thread::sleep(Duration::from_millis(20));
            life += 1;
            engine = Engine::start(&world, "127.0.0.1:0", seed + life, work.clone());
            peers.engine = engine.address;
            write_config(&config, listen, peers, 3200, &text);
            server = Server::start(&world, &config, &operator, listen, &dir.join("log"));
            if !server.wait_listening() {
                world.broken("restart failed");
                break;
            }
        }
        if has("kills") && random.chance(env("KILLS", 3)) {
            server.kill();
            engine.kill();
            world.note("killed");
            std::thread::sleep(Duration::from_millis(30));
            world.with(|t| {
                for t in t.tries.values_mut() {
                    if t.life == life && t.answer.as_ref().is_none_or(|a| *a == Answer::Lost) {
                        t.gone = true;
                    }
                }
            });
            life += 1;
            engine = Engine::start(&world, "127.0.0.1:0", seed + life, work.clone());
            peers.engine = engine.address;
            write_config(&config, listen, peers, 3200, &text);
            server = Server::start(&world, &config, &operator, listen, &dir.join("log"));
            if !server.wait_listening() {
                world.broken("restart failed");
                break;
            }
        }
        std::thread::sleep(Duration::from_micros(random.below(2 * rate_ms)));
    }
    if !has("slowend") {
        engine.set_slow(1);
    }
    if has("drain") {
        let notice = unix_ms();
        drained = Some(notice);
        server.signal(SIGTERM);
        world.note("SIGTERM");
        let mut end = Instant::now() + Duration::from_millis(3200);
        while Instant::now() < end && server.ended().is_none() {
            conns.retain(|c| !c.is_closed());
            if conns.len() < 2
                && let Ok(c) = Connection::open(&world, listen, 1, life)
            {
                conns.push(c);
            }
            for c in &conns {
                let class = if random.chance(500) { "book" } else { "close" };
                let mut ask = Ask {
                    class: class.into(),
                    key: None,
                    body: base64(format!("body {}", random.next()).as_bytes()),
                    allow_ms: 3000,
                    room: 10.0,
                    effort_ms: 8.0,
                };
                if class == "book" {
                    ask.key = Some(world.new_key());
                }
                c.send(&ask);
            }
            if has("pauses") && random.chance(10) {
                let from = unix_ms();
                server.signal(SIGSTOP);
                let ms = 50 + random.below(550);
                // What the balancers have opened waits at the machine.
                for _ in 0..2 {
                    if let Ok(c) = Connection::open(&world, listen, 1, life) {
                        conns.push(c);
                    }
                }
                std::thread::sleep(Duration::from_millis(ms));
                server.signal(SIGCONT);
                end += Duration::from_millis(ms);
                lenient.push((from, unix_ms()));
            }
            if has("breaks") && random.chance(50) {
                engine.break_link(Duration::from_millis(random.below(20)));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        std::thread::sleep(Duration::from_millis(50));
        match server.ended() {
            None => world.broken("the server had not ended at the kill"),
            Some(s) if !s.success() => world.broken(format!("exit {s}")),
            _ => {}
        }
    } else {
        std::thread::sleep(Duration::from_millis(3400));
        if let Some(status) = server.ended() {
            world.broken(format!("the server ended: {status}"));
        }
        if !has("quiet") {
            // all calm: one of each is served
            if let Ok(c) = Connection::open(&world, listen, 9, life) {
                catalogue.habits.later.store(0, Relaxed);
                catalogue.habits.fault.store(0, Relaxed);
                catalogue.habits.reset.store(0, Relaxed);
                catalogue.habits.spoilt.store(0, Relaxed);
                let mut good = 0;
                for _ in 0..20 {
                    let ask = Ask {
                        class: "quote".into(),
                        key: None,
                        body: base64(b"calm"),
                        allow_ms: 3000,
                        room: 10.0,
                        effort_ms: 8.0,
                    };
                    if let Some(n) = c.send(&ask)
                        && matches!(
                            world.answer(&n, Duration::from_secs(4)),
                            Some(Answer::Served(_))
                        )
                    {
                        good += 1;
                    }
                }
                if good < 15 {
                    world.broken(format!("calm: {good} of 20 served"));
                }
            }
        }
        server.kill();
    }
    std::thread::sleep(Duration::from_millis(100));
    check(&world, &lenient, drained, has("kept"), window, has("kills"));
    let n = world.with(|t| t.tries.len());
    let mut kinds: HashMap<String, u32> = HashMap::new();
    world.with(|t| {
        for t in t.tries.values() {
            let k = match &t.answer {
                Some(Answer::Served(_)) => "served",
                Some(Answer::Refused) => "refused",
                Some(Answer::Failed) => "failed",
                Some(Answer::Lost) => "lost",
                None => {
                    if t.gone {
                        "gone"
                    } else {
                        "none"
                    }
                }
            };
            *kinds.entry(k.into()).or_default() += 1;
        }
    });
    let broken = world.with(|t| t.broken.clone());
    println!(
        "seed {seed}: {halt} {passes} {window} {n} tries {kinds:?} peak {:?} broken {} {:?}",
        *peak.lock().unwrap(),
        broken.len(),
        broken.iter().take(6).collect::<Vec<_>>()
    );
    if !broken.is_empty() || has("save") {
        world.save(&format!("{folder}/record-{seed}.txt"));
    }
    let log = std::fs::read_to_string(dir.join("log")).unwrap_or_default();
    if log.contains("panick") {
        println!("seed {seed}: PANIC");
    }
    let _ = std::fs::copy(dir.join("log"), format!("{folder}/log-{seed}"));
    let _ = std::fs::remove_dir_all(&dir);
    i32::from(!broken.is_empty())
}

fn check(
    world: &World,
    lenient: &[(u64, u64)],
    drained: Option<u64>,
    kept: bool,
    window: u64,
    kills: bool,
) {
    let tries = world.with(|t| t.tries.clone());
    let mut by_key: HashMap<String, Vec<String>> = HashMap::new();
    for (name, t) in &tries {
        let pause: u64 = lenient.iter().map(|(a, b)| b - a).sum();
        let due = t.since_ms + t.allow_ms + 150 + 50;
        match &t.answer {
            None if !t.gone => world.broken(format!("{name} {} no answer", t.class)),
            Some(Answer::Lost) if !t.gone => world.broken(format!("{name} {} lost", t.class)),
            Some(Answer::Lost) if !t.runs.is_empty() && !kills => {
                world.broken(format!("{name} crossed the end of its connection and ran"))
            }
            Some(a) if !t.gone && *a != Answer::Lost && t.answered_ms > due + pause => {
                world.broken(format!("{name} late by {}", t.answered_ms - due))
            }
            _ => {}
        }
        if t.answers > 1 {
            world.broken(format!("{name} answered {} times", t.answers));
        }
        if let Some(Answer::Served(r)) = &t.answer {
            let own = is_result_of(r, name);
            let other = t.key.is_some()
                && tries
                    .iter()
                    .any(|(n, o)| o.key == t.key && is_result_of(r, n));
            if !own && !other {
                world.broken(format!("{name} {} foreign result", t.class));
            }
            if t.runs.is_empty() && t.key.is_none() {
                world.broken(format!("{name} served but never ran"));
            }
        }
        if t.answer == Some(Answer::Refused) && !t.runs.is_empty() {
            world.broken(format!("{name} {} refused but ran", t.class));
        }
        if t.runs.len() > 1 && t.class != "search" && t.class != "quote" {
            world.broken(format!("{name} {} ran {} times", t.class, t.runs.len()));
        }
        if t.calls as usize > t.runs.len().max(1) && (t.class == "book" || t.class == "close") {
            world.broken(format!("{name} {} called {} times", t.class, t.calls));
        }
        if let (Some(notice), Some(run)) = (drained, t.runs.first())
            && t.since_ms > notice + 2050 + pause
        {
            world.broken(format!("{name} ran at {run} after the grace"));
        }
        if let Some(key) = &t.key {
            by_key.entry(key.clone()).or_default().push(name.clone());
        }
    }
    for (key, names) in by_key {
        let ran: Vec<&String> = names
            .iter()
            .filter(|n| !tries[*n].runs.is_empty())
            .collect();
        for a in &ran {
            for b in &ran {
                let (x, y) = (&tries[*a], &tries[*b]);
                if a < b && y.since_ms.abs_diff(x.since_ms) <= window && (x.life == y.life || kept)
                {
                    world.broken(format!("key {key}: both {a} and {b} ran"));
                }
            }
            for n in &names {
                let (x, y) = (&tries[*a], &tries[n]);
                if y.answer == Some(Answer::Refused)
                    && (x.life == y.life || kept)
                    && y.since_ms > x.runs[0]
                    && y.since_ms <= x.since_ms + window
                {
                    world.broken(format!("key {key}: {n} refused after {a} ran"));
                }
            }
        }
    }
}

/// A client that sends what cannot be served, at full speed, and reads what it is sent.
fn bad_client(world: &World, address: std::net::SocketAddr, until: Instant, seed: u64) {
    use std::io::{Read, Write};
    let mut random = Random::new(seed);
    while Instant::now() < until {
        let Ok(mut stream) =
            std::net::TcpStream::connect_timeout(&address, Duration::from_millis(500))
        else {
            std::thread::sleep(Duration::from_millis(5));
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(1)));
        for _ in 0..random.below(200) {
            let open: Vec<(String, crate::world::Try)> = world.with(|t| {
                t.order
                    .iter()
                    .rev()
                    .take(10)
                    .filter_map(|n| t.tries.get(n).map(|x| (n.clone(), x.clone())))
                    .collect()
            });
            let Some((name, real)) = open.get(random.below(open.len() as u64) as usize).cloned()
            else {
                continue;
            };
            let id = random.below(40);
            let fresh = format!("{:016x}", random.next());
            let key = real
                .key
                .clone()
                .unwrap_or(format!("{:032x}", random.next()));
            let class = ["search", "quote", "book", "close", "nothing"][random.below(5) as usize];
            let name = if random.chance(400) { name } else { fresh };
            let body = base64(format!("bad {}", random.next()).as_bytes());
            let mut line = format!(
                "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"{class}\",\"params\":{{\"ref\":\"{name}\",\"since\":{},\"sender\":{},\"project\":\"acme\",\"allow\":{},\"effort\":{},\"room\":{},\"class_rank\":0.5,\"replay\":\"{key}\",\"bytes\":\"{body}\"}}}}\n",
                unix_ms() - random.below(500),
                random.below(1 << 40),
                random.below(30000),
                random.below(20000),
                0.1 + random.below(1999) as f64
            );
            match random.below(12) {
                0 => {
                    let at = random.below(line.len() as u64) as usize;
                    line.truncate(at);
                    line.push('\n');
                }
                1 => {
                    let at = random.below(line.len() as u64) as usize;
                    line.replace_range(
                        at..at + 1,
                        ["\"", "{", "9", "-", "e", "\\"][random.below(6) as usize],
                    );
                }
                2 => {
                    line = format!(
                        "{{\"jsonrpc\":\"2.0\",\"method\":\"forget\",\"params\":{{\"id\":{id},\"ref\":\"{name}\"}}}}\n"
                    )
                }
                3 => line = "[".repeat(random.below(19000) as usize) + "\n",
                4 => line = line.replace("\"id\":", "\"id\":1e"),
                5 => line = line.replace("\"since\":", "\"since\":-"),
                6 => line = line.replace("\"room\":", "\"room\":1e3"),
                _ => {}
            }
            if stream.write_all(line.as_bytes()).is_err() {
                break;
            }
            let mut buffer = [0; 4096];
            while let Ok(n) = stream.read(&mut buffer) {
                if n == 0 {
                    break;
                }
                if String::from_utf8_lossy(&buffer[..n]).contains("\"bytes\"") {
                    world.broken("a bad client was served");
                }
            }
        }
    }
}
