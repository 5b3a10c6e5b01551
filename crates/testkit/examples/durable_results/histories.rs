//! Seeded histories: a server is killed while it handles bookings, restarted, and sent each request
//! again.

use crate::site::Site;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use madderbay_testkit::measurement::report::Violations;
use madderbay_testkit::measurement::seeds::run_seeds;
use madderbay_testkit::peer::Peer;
use madderbay_testkit::unix_ms;
use oorandom::Rand64;
use serde_json::Value;
use std::io::BufRead;
use std::net::TcpStream;
use std::time::Duration;

/// Number of histories that run in parallel.
const THREADS: usize = 4;
/// Number of requests of a history, each with an idempotency key of its own.
const KEYS: usize = 6;
/// Number of incarnations of the server that are killed; one more incarnation is not killed.
const KILLS: u32 = 2;
/// Maximum time from the sending of the requests to a kill, in microseconds.
const MAX_KILL_DELAY_MICROS: u64 = 45_000;
/// Minimum and maximum work of a booking, in milliseconds.
const WORK_MS: (f64, f64) = (2.0, 12.0);
/// Error code of a request that was rejected and never ran.
const REJECTED: i64 = -32002;

/// Plays `count` histories and prints the totals and the violations.
pub(crate) fn measure(count: u64) {
    let tallies = run_seeds(1..count + 1, THREADS, |seed| History::new(seed).play());
    let mut total = Tally::default();
    let mut violations = Violations::default();
    for (seed, tally) in (1..).zip(tallies) {
        total.add(&tally);
        violations.add(seed, tally.violations);
    }
    println!(
        "{count} histories of {KEYS} keys and {KILLS} kills: first attempts answered {}, not {}; \
         retries completed {}, failed {}, rejected {}; violated: {}",
        total.first_answered,
        total.first_unanswered,
        total.retries_completed,
        total.retries_failed,
        total.retries_rejected,
        violations.count()
    );
    violations.print_first();
}

/// Number of answers of each kind to the attempts of one or more histories.
#[derive(Default)]
struct Tally {
    first_answered: u32,
    first_unanswered: u32,
    retries_completed: u32,
    retries_failed: u32,
    retries_rejected: u32,
    /// One line for each violation of a guarantee.
    violations: Vec<String>,
}

impl Tally {
    /// Adds the counts of another tally.
    fn add(&mut self, other: &Tally) {
        self.first_answered += other.first_answered;
        self.first_unanswered += other.first_unanswered;
        self.retries_completed += other.retries_completed;
        self.retries_failed += other.retries_failed;
        self.retries_rejected += other.retries_rejected;
    }
}

struct History {
    site: Site,
    seed: u64,
    random: Rand64,
    keys: Vec<u64>,
    /// Whether the request of each key has received a result.
    completed: Vec<bool>,
    next_id: u64,
    tally: Tally,
}

impl History {
    fn new(seed: u64) -> History {
        let mut random = Rand64::new(u128::from(seed));
        let keys: Vec<u64> = (0..KEYS).map(|_| random.rand_u64()).collect();
        History {
            site: Site::new(Some("grouped"), WORK_MS, seed),
            seed,
            random,
            completed: vec![false; keys.len()],
            keys,
            next_id: 1,
            tally: Tally::default(),
        }
    }

    /// Plays the incarnations that are killed and the last one, which is not.
    fn play(mut self) -> Tally {
        for incarnation in 0..=KILLS {
            self.play_incarnation(incarnation);
        }
        let keys = self.keys.len() as u32;
        self.tally.first_unanswered = keys - self.tally.first_answered.min(keys);
        for (body, runs) in self.site.engine.stats().bodies {
            if runs > 1 {
                let violation = format!("{body} was booked {runs} times");
                self.tally.violations.push(violation);
            }
        }
        self.tally
    }

    /// Sends each request to a new incarnation, kills it if it is not the last one, and reads the
    /// answers that arrived.
    fn play_incarnation(&mut self, incarnation: u32) {
        let server = self.site.start_server();
        let mut peer =
            Peer::new(TcpStream::connect(server.address).expect("the server accepts a connection"));
        let first_id = self.next_id;
        for key in &self.keys {
            let attempt = self.next_id + self.seed * 1_000;
            peer.say(&request_line(self.next_id, attempt, *key));
            self.next_id += 1;
        }
        if incarnation < KILLS {
            let delay_micros = self.random.rand_range(0..MAX_KILL_DELAY_MICROS);
            std::thread::sleep(Duration::from_micros(delay_micros));
            server.signal("-KILL");
        }
        for _ in 0..self.keys.len() {
            let mut line = String::new();
            if peer.0.read_line(&mut line).unwrap_or(0) == 0 {
                break;
            }
            let answer: Value = serde_json::from_str(&line).unwrap_or_default();
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
                let outcome = if code == REJECTED {
                    "rejected"
                } else {
                    "failed"
                };
                let violation = format!("a retry of a completed request was {outcome}");
                self.tally.violations.push(violation);
            }
        }
    }
}

/// Returns the JSON-RPC line of one attempt of a booking, as load balancers send it.
fn request_line(id: u64, attempt: u64, key: u64) -> String {
    let body = BASE64.encode(format!("{key:016x}"));
    let since = unix_ms();
    format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"book\",\"params\":{{\"ref\":\"{attempt:016x}\",\
         \"since\":{since},\"sender\":4,\"project\":\"acme\",\"allow\":3000,\"replay\":\"{key:032x}\",\
         \"room\":2.5,\"bytes\":\"{body}\"}}}}\n"
    )
}
