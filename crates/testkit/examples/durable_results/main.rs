//! Measures durable results on the real program, between fakes on loopback:
//!
//!     cargo build --release && cargo run --release -p madderbay-testkit --example durable_results [HISTORIES]
//!
//! First the cost: response times, commits and CPU at several rates, and the time of a recovery.
//! Then histories: a server is killed at a random moment while it books, restarted, and sent each
//! request again. A booking is a run in the engine, and no request may be booked twice.

use madderbay_idempotency_store::record::Record;
use madderbay_idempotency_store::storage::DirectoryStorage;
use madderbay_idempotency_store::write_ahead_log::{LogEntry, LogLimits, WriteAheadLog};
use madderbay_testkit::catalogue::Catalogue;
use madderbay_testkit::engine::{Engine, HandlerWork};
use madderbay_testkit::load_balancer::{Answer, Load, latencies};
use madderbay_testkit::measurement::loads::{LoadTarget, request_kind};
use madderbay_testkit::peer::Peer;
use madderbay_testkit::registry::Registry;
use madderbay_testkit::server::{Dependencies, Server, configuration, write_config};
use madderbay_testkit::unix_ms;
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

const SETTINGS: &str = r#"{"classes": [
 {"name": "book", "aim_us": 3000000, "hard_limit_us": 8000000, "importance": 3.0,
  "effect": "idempotency_key", "repeat_window_us": 30000000}],
 "tenants": [{"name": "acme", "allowance_per_s": 5000.0}],
 "family_info": {"n_cores": 4, "memory_kb": 1000000.0, "blowup": 4.0, "key_kb": 2.0, "preemption": "freeze",
  "below": "one_for_all", "dep_share": 64.0, "share_span_us": 5000000, "linger_us": 200000,
  "class_calls": [true], "class_skip_worth": [0.0], "passes_deadline": true,
  "readiness": true, "say": "allowance", "upstreams": 2, "keepalive_max_us": 30000000,
  "meters": ["core_use", "on_cores", "heap_share", "links"]},
 "permissions": {"retry_after": true, "max_retry_after_us": 5000000},
 "rules": {"tip_multiple": 5.0, "drain_grace_us": 200000}, "servers": 1}"#;

/// Error code of a request that was rejected and never ran.
const REJECTED: i64 = -32002;

struct Place {
    binary: PathBuf,
    folder: PathBuf,
    operator: Option<String>,
    config: String,
    engine: Engine,
}

impl Place {
    fn new(binary: &Path, sync: Option<&str>, work_ms: (f64, f64), seed: u64) -> Place {
        let folder = write_config("");
        std::fs::remove_file(&folder).expect("removed");
        std::fs::create_dir(&folder).expect("made");
        let engine = Engine::start(4.0, vec![HandlerWork::new("book", work_ms, true)], seed);
        let catalogue = Catalogue::start(64, Duration::from_millis(5));
        let Registry { address, reports } = Registry::start();
        std::thread::spawn(move || reports.iter().for_each(drop));
        let others = Dependencies {
            engine: engine.address,
            registry: address,
            catalogue: catalogue.address,
        };
        let operator = sync.map(|s| {
            format!(
                "[kept-results]\nenabled = on\ndirectory = {}\nsync = {s}\n",
                folder.display()
            )
        });
        let config = configuration("127.0.0.1:0", others, 256, 3_000, SETTINGS);
        Place {
            binary: binary.into(),
            folder,
            operator,
            config,
            engine,
        }
    }

    fn live(&self) -> Server {
        let mut server = Server::start(&self.binary, &self.config, self.operator.as_deref());
        server.log_at("engine: up");
        server
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn line(id: u64, name: u64, key: u64) -> String {
    use base64::Engine as _;
    let body = base64::engine::general_purpose::STANDARD.encode(format!("{key:016x}"));
    format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"book\",\"params\":{{\"ref\":\"{name:016x}\",\
         \"since\":{},\"sender\":4,\"project\":\"acme\",\"allow\":3000,\"replay\":\"{key:032x}\",\
         \"room\":2.5,\"bytes\":\"{body}\"}}}}\n",
        unix_ms()
    )
}

/// What the attempts of one or more histories were answered.
#[derive(Default)]
struct Tally {
    first_answered: u32,
    first_unanswered: u32,
    retries_completed: u32,
    retries_failed: u32,
    retries_rejected: u32,
    /// One line for each violated guarantee.
    violations: Vec<String>,
}

impl Tally {
    fn add(&mut self, other: Tally) {
        self.first_answered += other.first_answered;
        self.first_unanswered += other.first_unanswered;
        self.retries_completed += other.retries_completed;
        self.retries_failed += other.retries_failed;
        self.retries_rejected += other.retries_rejected;
        self.violations.extend(other.violations);
    }
}

/// A server that is killed while it books, restarted, and sent each request again.
struct History {
    place: Place,
    seed: u64,
    random: oorandom::Rand64,
    keys: Vec<u64>,
    /// Whether the request of each key has had a result.
    completed: Vec<bool>,
    next_id: u64,
    tally: Tally,
}

impl History {
    fn new(binary: &Path, seed: u64) -> History {
        let mut random = oorandom::Rand64::new(u128::from(seed));
        let keys: Vec<u64> = (0..6).map(|_| random.rand_u64()).collect();
        History {
            place: Place::new(binary, Some("grouped"), (2.0, 12.0), seed),
            seed,
            random,
            completed: vec![false; keys.len()],
            keys,
            next_id: 1,
            tally: Tally::default(),
        }
    }

    /// Plays two incarnations that are killed, and one that is not.
    fn run_script(mut self) -> Tally {
        for incarnation in 0..3 {
            self.play_incarnation(incarnation);
        }
        let keys = self.keys.len() as u32;
        self.tally.first_unanswered = keys - self.tally.first_answered.min(keys);
        for (body, runs) in self.place.engine.stats().bodies {
            if runs > 1 {
                let violation = format!("seed {}: {body} was booked {runs} times", self.seed);
                self.tally.violations.push(violation);
            }
        }
        self.tally
    }

    fn play_incarnation(&mut self, incarnation: u32) {
        let server = self.place.live();
        let mut peer = Peer::new(TcpStream::connect(server.address).expect("a connection"));
        let first_id = self.next_id;
        for key in &self.keys {
            peer.say(&line(self.next_id, self.next_id + self.seed * 1_000, *key));
            self.next_id += 1;
        }
        if incarnation < 2 {
            let delay_micros = self.random.rand_range(0..45_000);
            std::thread::sleep(Duration::from_micros(delay_micros));
            server.signal("-KILL");
        }
        for _ in 0..self.keys.len() {
            let mut text = String::new();
            if std::io::BufRead::read_line(&mut peer.0, &mut text).unwrap_or(0) == 0 {
                break;
            }
            let answer: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
            if let Some(id) = answer["id"].as_u64() {
                let error = answer["error"]["code"].as_i64();
                self.count_answer((id - first_id) as usize, error, incarnation > 0);
            }
        }
    }

    /// Counts one answer; `error` is its error code if it has no result.
    fn count_answer(&mut self, key_index: usize, error: Option<i64>, is_retry: bool) {
        let count = match error {
            None => &mut self.tally.retries_completed,
            Some(REJECTED) => &mut self.tally.retries_rejected,
            Some(_) => &mut self.tally.retries_failed,
        };
        *count += u32::from(is_retry);
        self.tally.first_answered += u32::from(!is_retry);
        match error {
            None => self.completed[key_index] = true,
            Some(_) if !self.completed[key_index] => {}
            Some(code) => {
                let outcome = if code == REJECTED { "shed" } else { "errored" };
                let violation = format!("seed {}: a done key was {outcome}", self.seed);
                self.tally.violations.push(violation);
            }
        }
    }
}

fn cost(binary: &Path, sync: Option<&str>, rate: f64) {
    let place = Place::new(binary, sync, (0.5, 1.0), 1);
    let mut server = place.live();
    let log = server.follow();
    let kind = request_kind("book", 1.0, Duration::from_secs(3), true);
    let length = Duration::from_secs(4);
    let load = Load {
        kinds: vec![kind],
        rates: vec![(Duration::ZERO, rate)],
        length,
        seed: 7,
        timeout_ms: 8_000,
    };
    let (cpu, began) = (server.cpu(), Instant::now());
    let target = LoadTarget {
        server: server.address,
        engine: place.engine.clone(),
    };
    let records = target.send(&load, |_| ());
    let (cpu, took) = (
        (server.cpu() - cpu) * 1e3 / records.len() as f64,
        began.elapsed().as_secs_f64(),
    );
    let found = latencies(&records, 0);
    let done = records
        .iter()
        .filter(|f| matches!(f.answers[..], [(Answer::Completed, _)]))
        .count();
    let broken = target.violations(&load, &records);
    server.signal("-TERM");
    let mut writes = 0.0;
    while let Ok((_, text)) = log.recv_timeout(Duration::from_secs(5)) {
        if let Some(n) = text.strip_prefix("counter kept.writes ") {
            writes = n.parse().unwrap_or(0.0);
        }
    }
    println!(
        "{:8} {rate:5} a second: {done} of {} done; 50, 95, 99% within {}, {}, {} ms; {:.0} writes a second; \
         CPU a req {cpu:.2} ms; rules broken {}",
        sync.unwrap_or("off"),
        records.len(),
        found.value_at_quantile(0.5),
        found.value_at_quantile(0.95),
        found.value_at_quantile(0.99),
        writes / took,
        broken.len()
    );
}

fn recovery(binary: &Path, keys: u128) {
    let place = Place::new(binary, Some("grouped"), (1.0, 2.0), 1);
    {
        let storage = DirectoryStorage::open(&place.folder).expect("opened");
        let limits = LogLimits {
            disk_bytes: 64 << 20,
            retention_micros: 30_000_000,
        };
        let (mut log, _) = WriteAheadLog::open(storage, 1, limits).expect("read");
        let expires_at_micros = 30_000_001;
        for part in 0..keys / 1_000 {
            let entries: Vec<_> = (0..1_000)
                .flat_map(|k| {
                    let key = part * 1_000 + k;
                    let intent = Record::Intent {
                        key,
                        request_hash: 0,
                        expires_at_micros,
                        attempt_id: [b'0'; 16],
                    };
                    let result = vec![b'x'; 100].into_boxed_slice();
                    [intent, Record::Completed { key, result }]
                })
                .map(|record| LogEntry {
                    record,
                    expires_at_micros,
                })
                .collect();
            log.commit(1, &entries).expect("written");
        }
    }
    let server = place.live();
    println!(
        "{}; resident {} KB",
        server.before.concat().trim(),
        server.memory_kb()
    );
}

fn main() {
    let histories: u64 = std::env::args()
        .nth(1)
        .and_then(|n| n.parse().ok())
        .unwrap_or(500);
    let binary = PathBuf::from(
        std::env::var("MADDERBAY").unwrap_or_else(|_| "target/release/madderbay".into()),
    );
    // The cost comes first, because the fakes of the histories stay until the end.
    for rate in [50.0, 200.0, 1_000.0] {
        for sync in [None, Some("grouped"), Some("each")] {
            cost(&binary, sync, rate);
        }
    }
    [1_000, 10_000, 100_000]
        .into_iter()
        .for_each(|keys| recovery(&binary, keys));
    report_histories(&binary, histories);
}

/// Plays histories in four threads and prints what came of all of them.
fn report_histories(binary: &Path, histories: u64) {
    let seeds: Vec<u64> = (1..=histories).collect();
    let mut all = Tally::default();
    std::thread::scope(|scope| {
        let threads: Vec<_> = seeds
            .chunks(seeds.len().div_ceil(4))
            .map(|seeds| scope.spawn(move || play_histories(binary, seeds)))
            .collect();
        for thread in threads {
            all.add(thread.join().expect("played"));
        }
    });
    println!(
        "{histories} histories of 6 keys and 2 kills: first tries answered {}, not {}; repeats done {}, \
         errored {}, shed {}; broken: {}",
        all.first_answered,
        all.first_unanswered,
        all.retries_completed,
        all.retries_failed,
        all.retries_rejected,
        all.violations.len()
    );
    for violation in all.violations.iter().take(10) {
        println!("  {violation}");
    }
}

fn play_histories(binary: &Path, seeds: &[u64]) -> Tally {
    let mut tally = Tally::default();
    for seed in seeds {
        tally.add(History::new(binary, *seed).run_script());
    }
    tally
}
