//! A search over drawn troubles of a small fleet that shares a quota of calls.

use crate::client::{Ask, Connection};
use crate::engine::{Engine, Work};
use crate::peers::{Catalogue, registry};
use crate::server::{Peers, SIGCONT, SIGHUP, SIGSTOP, Server, free_address, write_config};
use crate::text::{Random, base64};
use crate::world::{Answer, World};
use std::collections::HashMap;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

pub fn run(folder: &str) -> i32 {
    let env = |n: &str, d: u64| {
        std::env::var(n)
            .ok()
            .and_then(|v| v.parse().ok())
            .unwrap_or(d)
    };
    let has = |name: &str| {
        std::env::var("WITH")
            .unwrap_or_default()
            .split(',')
            .any(|w| w == name)
    };
    let seed = env("SEED", 1);
    let mut random = Random::new(seed);
    let world = World::new();
    let dir = std::env::temp_dir().join(format!("review-2f-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let calls: HashMap<String, u32> = [("search", 1), ("book", 1)]
        .into_iter()
        .map(|(c, n)| (c.to_string(), n))
        .collect();
    let work = Work {
        micros: (500, 3000),
        calls,
        halts: true,
        result_bytes: 100,
    };
    let catalogue = Catalogue::start(&world, seed);
    catalogue.habits.micros.store(60_000, Relaxed);
    let reg = registry(&world);
    let n = 3;
    let udp: Vec<_> = (0..n).map(|_| free_address()).collect();
    let join = udp
        .iter()
        .map(|a| a.to_string())
        .collect::<Vec<_>>()
        .join(", ");
    let listen: Vec<_> = (0..n).map(|_| free_address()).collect();
    let mut engines: Vec<Engine> = (0..n)
        .map(|i| Engine::start(&world, "127.0.0.1:0", seed * 10 + i, work.clone()))
        .collect();
    let text = crate::setup::SETTINGS
        .replace("BOOK_CALLS", "true")
        .replace("\"dep_share\": 5.0", "\"dep_share\": 50.0")
        .replace("10000.0", "90000.0");
    let operator = |i: usize, calls: u64| {
        let seat = if has("seats") {
            format!("seat = {}\n", i + 1)
        } else {
            String::new()
        };
        format!(
            "[members]\nenabled = on\nlisten = {}\njoin = {join}\nprobe_ms = 100\nsuspicion_ms = 400\n[shared]\nenabled = on\n{seat}[budget tb]\nhandlers = book, search\ncalls = {calls}\nservers = 3\nlease_ms = 300\nlongest_ms = 400\n",
            udp[i]
        )
    };
    let start = |i: usize, engines: &Vec<Engine>| {
        let config = dir.join(format!("c{i}.json"));
        write_config(
            &config,
            listen[i],
            Peers {
                engine: engines[i].address,
                registry: reg,
                catalogue: catalogue.address,
            },
            3200,
            &text.replace("\"n1\"", "\"x\""),
        );
        let t = std::fs::read_to_string(&config)
            .unwrap()
            .replace("\"name\":\"n1\"", &format!("\"name\":\"n{}\"", i + 1));
        std::fs::write(&config, t).unwrap();
        std::fs::write(dir.join(format!("o{i}.ini")), operator(i, 6)).unwrap();
        let mut s = Server::start(
            &world,
            &config,
            &dir.join(format!("o{i}.ini")),
            listen[i],
            &dir.join(format!("log{i}")),
        );
        s.wait_listening();
        s
    };
    let mut servers: Vec<Server> = (0..n as usize).map(|i| start(i, &engines)).collect();
    std::thread::sleep(Duration::from_millis(3500));
    let peak = std::sync::Arc::new(std::sync::atomic::AtomicI64::new(0));
    {
        let (p, h, w) = (peak.clone(), catalogue.held.clone(), world.clone());
        std::thread::spawn(move || {
            loop {
                let v = h.load(Relaxed);
                if v > p.load(Relaxed) {
                    p.store(v, Relaxed);
                    w.note(format!("held {v}"));
                }
                std::thread::sleep(Duration::from_micros(300));
            }
        });
    }
    let mut conns: Vec<Vec<Connection>> = vec![vec![]; n as usize];
    let until = Instant::now() + Duration::from_millis(env("MS", 20000));
    let mut hot = 0usize;
    let mut life = 1;
    while Instant::now() < until {
        if random.chance(10) {
            hot = random.below(n) as usize;
        }
        let i = if random.chance(800) {
            hot
        } else {
            random.below(n) as usize
        };
        conns[i].retain(|c| !c.is_closed());
        while conns[i].len() < 3 {
            match Connection::open(&world, listen[i], i as u64, life) {
                Ok(c) => conns[i].push(c),
                Err(_) => break,
            }
        }
        if let Some(c) = conns[i].get(random.below(3) as usize) {
            let ask = Ask {
                class: "search".into(),
                key: None,
                body: base64(b"x"),
                allow_ms: 1500,
                room: 10.0,
                effort_ms: 3.0,
            };
            c.send(&ask);
        }
        if random.chance(5) {
            catalogue.habits.micros.store(
                [20_000, 60_000, 300_000, 900_000][random.below(4) as usize],
                Relaxed,
            );
        }
        if has("pauses") && random.chance(6) {
            let j = random.below(n) as usize;
            servers[j].signal(SIGSTOP);
            let ms = 100 + random.below(1500);
            world.note(format!("stop n{} {ms}", j + 1));
            let pid = servers[j].pid();
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(ms));
                crate::server::signal_to(pid, SIGCONT);
            });
        }
        if has("kills") && random.chance(4) {
            let j = random.below(n) as usize;
            world.note(format!("kill n{}", j + 1));
            servers[j].kill();
            engines[j].kill();
            life += 1;
            engines[j] = Engine::start(&world, "127.0.0.1:0", seed * 100 + life, work.clone());
            servers[j] = start(j, &engines);
        }
        if has("reloads") && random.chance(5) {
            let j = random.below(n) as usize;
            std::fs::write(
                dir.join(format!("o{j}.ini")),
                operator(j, 3 + random.below(4)),
            )
            .unwrap();
            servers[j].signal(SIGHUP);
        }
        std::thread::sleep(Duration::from_micros(random.below(8000)));
    }
    for s in &servers {
        s.signal(SIGCONT);
    }
    let ended: Vec<_> = servers.iter_mut().filter_map(|s| s.ended()).collect();
    let served = world.with(|t| {
        t.tries
            .values()
            .filter(|t| matches!(t.answer, Some(Answer::Served(_))))
            .count()
    });
    let mut panics = 0;
    for i in 0..n {
        let l = std::fs::read_to_string(dir.join(format!("log{i}"))).unwrap_or_default();
        if l.contains("panick") {
            panics += 1;
        }
        let _ = std::fs::write(format!("{folder}/flog{i}-{seed}"), l);
    }
    println!(
        "fleet seed {seed}: {} tries {served} served, peak held {} of 6, panics {panics} ended {ended:?}",
        world.with(|t| t.tries.len()),
        peak.load(Relaxed)
    );
    world.save(&format!("{folder}/frecord-{seed}.txt"));
    let _ = std::fs::remove_dir_all(&dir);
    0
}
