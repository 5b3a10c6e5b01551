//! Plays every file in `tests/scenarios` twice: each feed whole, then cut at every byte. Names before the
//! marks are peers: `a`, `b`, `d`, `f` balancers' connections, `e` the engine's link, `c1`, `c2` .. the
//! connections to the catalogue in the order in which they were wanted.
//!
//! ```text
//! @250ms                       the clock goes to 250 ms after the start; timers run on the way
//! a req 7 book ref=1 replay=2  a req as a line of JSON-RPC (`since=`, `allow=` in ms; `room=`, `project=`,
//!                              `sender=`, `effort=`, `class_rank=`, `bytes=` as they stand on the wire)
//! a> {...}   or   e> {...}     a line from a peer as it stands
//! c1= 0000000000000001 DATA 3 abc    a reply with its body
//! a endless                    40,000 bytes of a line that does not end
//! a lost                       the connection broke; `a end` the peer sends no more; `c1 lost` alike
//! e lost   e link              the engine's link breaks; a new one is made
//! c1 deaf                      nothing can be written to it any more
//! c moved                      the catalogue has another address
//! e mute   e speak             the engine answers no question for its gauges; it does again
//! crowd                        there is no room for one more connection: one has to go, if any may
//! leave 3200ms                 notice to drain
//! kept                         results are kept on a disk that is quick: what is written lasts at once
//! disk holds   disk lasts   disk fails    it takes its time; all that waits lasts; none of it does
//! late 3ms                     timers ring that late from now on
//! a< {...}                     the next line out to a peer, byte for byte; questions for gauges are left out
//! a~ shed | "id":7             the next line out holds all of this
//! a!                           nothing more has gone out; `a.` nor may it be read on, or it is closed
//! = answered.shed 2            a counter
//! ```

mod common;

use madderbay::time::{Duration, Timestamp};
use madderbay_idempotency_store::write_ahead_log::LogEntry;
use madderbay_idempotency_store::{DurableResults, SequenceNumber};
use madderbay_server::core::durability::{DurabilityQueue, StorageEvent};
use madderbay_server::core::event_loop::EventLoop;
use madderbay_server::downstream::json_rpc::JsonRpcSession;
use madderbay_server::support::io::Outbox;
use madderbay_server::upstream::calls::{CallObserver as _, ReplyReader};
use madderbay_server::upstream::engine::NoticeReader;
use std::collections::{HashMap, VecDeque};
use std::sync::mpsc::{Receiver, channel};

/// Bytes that kept results may take: two and a half of the longest played here.
const RESULTS: usize = 2_500;
const START_MS: u64 = 1_764_576_000_000;

struct Balancer {
    no: u64,
    out: Outbox,
    front: JsonRpcSession,
    reads: bool,
}

struct Play {
    serve: EventLoop,
    now: Timestamp,
    cut: usize,
    balancers: HashMap<String, Balancer>,
    notices: NoticeReader,
    engine: Option<Outbox>,
    mute: bool,
    /// What goes to the disk, and whether that is quick.
    disk: Option<Receiver<(SequenceNumber, Vec<LogEntry>)>>,
    quick: bool,
    /// Takes nothing that is sent to it.
    deaf: Option<String>,
    /// How late due times are seen to.
    late: Duration,
    wires: Vec<(u64, Outbox, ReplyReader)>,
    /// What has gone out to each peer and was not looked at yet.
    sent: HashMap<String, VecDeque<String>>,
}

fn millis(text: &str) -> u64 {
    text.trim_end_matches("ms").parse().expect("milliseconds")
}

fn stats(cookie: &str) -> String {
    format!("{{\"msg\":\"STATS\",\"cookie\":\"{cookie}\",\"stats\":[0.5,1,0.1,3.0]}}\n")
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros((START_MS + ms) * 1000)
}

impl Play {
    fn new(cut: usize) -> Play {
        let settings = madderbay_settings::read(common::SETTINGS.as_bytes()).expect("settings");
        let mut play = Play {
            serve: EventLoop::new(at(0), 7, settings, RESULTS),
            now: at(0),
            cut,
            balancers: HashMap::new(),
            notices: NoticeReader::default(),
            engine: None,
            mute: false,
            disk: None,
            quick: true,
            deaf: None,
            late: Duration::ZERO,
            wires: vec![],
            sent: HashMap::new(),
        };
        play.link();
        play.moment();
        play
    }

    fn link(&mut self) {
        let out = Outbox::default();
        self.notices.relinked();
        self.serve
            .engine_link_mut()
            .attach(out.clone(), self.notices.serial());
        self.engine = Some(out);
    }

    fn balancer(&mut self, who: &str) -> &mut Balancer {
        if !self.balancers.contains_key(who) {
            let out = Outbox::default();
            let no = self.serve.connection_opened(self.now, out.clone());
            let fresh = Balancer {
                no,
                out,
                front: JsonRpcSession::new(no),
                reads: true,
            };
            self.balancers.insert(who.to_string(), fresh);
        }
        self.balancers.get_mut(who).expect("just made")
    }

    fn feed(&mut self, who: &str, bytes: &[u8]) {
        let (now, cut) = (self.now, self.cut);
        for piece in bytes.chunks(cut) {
            if who == "e" {
                assert!(
                    self.notices.fed(now, piece, &mut self.serve),
                    "the engine's link is read on"
                );
            } else if let Some(n) = who.strip_prefix('c').and_then(|n| n.parse::<usize>().ok()) {
                self.want();
                let serve = &mut self.serve;
                let (no, out, replies) = &mut self.wires[n - 1];
                let no = *no;
                if !replies.feed(piece, |reply| {
                    serve.call_over(now, no, &reply.name, reply.outcome, reply.body)
                }) {
                    out.close();
                }
            } else {
                self.balancer(who);
                let b = self.balancers.get_mut(who).expect("known");
                b.reads = b.reads && b.front.feed(now, piece, &mut self.serve);
            }
        }
    }

    fn want(&mut self) {
        let wanted = self.serve.calls_mut().take_wanted();
        self.wires.extend(
            wanted
                .into_iter()
                .map(|wire| (wire.id, wire.outbox, ReplyReader::default())),
        );
    }

    /// All that waits for the disk lasts, or none of it.
    fn disk(&mut self, lasts: bool) -> bool {
        let batches: Vec<_> = self.disk.iter().flat_map(Receiver::try_iter).collect();
        let Some(seq) = batches.last().map(|b| b.0) else {
            return false;
        };
        let why = "told to fail".to_string();
        let told = if lasts {
            StorageEvent::Written { seq, disk: 100 }
        } else {
            StorageEvent::Failed { seq, why }
        };
        self.serve.storage_event(self.now, told);
        true
    }

    /// The moment is over: what came settles, what went out is put by, the engine tells its gauges.
    fn moment(&mut self) {
        self.serve.run_turn(self.now);
        while self.quick && self.disk(true) {
            self.serve.run_turn(self.now);
        }
        self.want();
        let mut outs: Vec<(String, Outbox)> = self
            .balancers
            .iter()
            .map(|(n, b)| (n.clone(), b.out.clone()))
            .collect();
        outs.extend(
            self.wires
                .iter()
                .enumerate()
                .map(|(i, w)| (format!("c{}", i + 1), w.1.clone())),
        );
        outs.extend(self.engine.iter().map(|out| ("e".to_string(), out.clone())));
        let mut asked = vec![];
        for (who, out) in outs
            .into_iter()
            .filter(|o| Some(&o.0) != self.deaf.as_ref())
        {
            let text = String::from_utf8(out.take()).expect("text");
            for line in text.lines() {
                match line.strip_prefix("{\"msg\":\"STAT\",\"cookie\":\"") {
                    Some(cookie) => asked.push(cookie.trim_end_matches("\"}").to_string()),
                    None => self
                        .sent
                        .entry(who.clone())
                        .or_default()
                        .push_back(line.to_string()),
                }
            }
        }
        if !asked.is_empty() && !self.mute {
            for cookie in asked {
                self.feed("e", stats(&cookie).as_bytes());
            }
            self.moment();
        }
    }

    fn run_to(&mut self, until: Timestamp) {
        while let Some(next) = self
            .serve
            .next_deadline()
            .filter(|n| *n + self.late < until)
        {
            self.now = self.now.max(next + self.late);
            self.moment();
        }
        self.now = until;
        self.moment();
    }

    fn req(&mut self, who: &str, words: &[&str]) {
        let get = |key: &str| {
            words
                .iter()
                .find_map(|w| w.strip_prefix(key)?.strip_prefix('='))
        };
        let now = (self.now - at(0)).as_micros() / 1000;
        let since = START_MS + get("since").map_or(now, millis);
        let (id, method) = (words[0], words[1]);
        let own: u64 = get("ref").expect("a ref").parse().expect("a number");
        let replay = get("replay").map_or(String::new(), |k| format!("\"replay\":\"{k:0>32}\","));
        let line = format!(
            "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"{method}\",\"params\":{{\"ref\":\"{own:016x}\",\
             \"since\":{since},\"sender\":{},\"project\":\"{}\",\"allow\":{},\"effort\":{},\"room\":{},\
             {replay}\"class_rank\":{},\"bytes\":{}}}}}\n",
            get("sender").unwrap_or("4"),
            get("project").unwrap_or("acme"),
            get("allow").unwrap_or("5000"),
            get("effort").unwrap_or("12.50"),
            get("room").unwrap_or("24.5"),
            get("class_rank").unwrap_or("0.6250"),
            get("bytes").unwrap_or("\"QUJD\""),
        );
        self.feed(who, line.as_bytes());
    }

    fn lost(&mut self, who: &str) {
        if who == "e" {
            self.serve.engine_link_mut().lost();
            self.engine = None;
        } else if let Some(n) = who.strip_prefix('c').and_then(|n| n.parse::<usize>().ok()) {
            self.want();
            let no = self.wires[n - 1].0;
            self.serve.call_lost(self.now, no);
        } else {
            let no = self.balancer(who).no;
            self.serve.connection_closed(self.now, no);
        }
    }

    /// Plays one line; says what is not as it should be.
    fn line(&mut self, line: &str) -> Result<(), String> {
        let (first, rest) = line.split_once(' ').unwrap_or((line, ""));
        let (who, mark) = first.split_at(first.len() - 1);
        let words: Vec<&str> = rest.split_whitespace().collect();
        let next = |play: &mut Play| play.sent.get_mut(who).and_then(VecDeque::pop_front);
        match (who, mark) {
            _ if first.starts_with('@') => {
                self.run_to(at(millis(&first[1..])));
                return Ok(());
            }
            (_, ">") => self.feed(who, format!("{rest}\n").as_bytes()),
            (_, "=") if !who.is_empty() => {
                let mut part = rest.splitn(4, ' ');
                let head: Vec<&str> = part.by_ref().take(3).collect();
                let body = part.next().map_or(String::new(), |b| format!("{b}\r\n"));
                self.feed(who, format!("{}\r\n{body}", head.join(" ")).as_bytes());
            }
            (_, "<") => {
                let found = next(self);
                return if found.as_deref() == Some(rest) {
                    Ok(())
                } else {
                    Err(format!("found {found:?}"))
                };
            }
            (_, "~") => {
                let found = next(self).unwrap_or_default();
                let all = rest.split(" | ").all(|part| found.contains(part));
                return if all {
                    Ok(())
                } else {
                    Err(format!("found {found:?}"))
                };
            }
            (_, "!") => {
                let more = next(self);
                return more.map_or(Ok(()), |m| Err(format!("found {m:?}")));
            }
            ("e", ".") => {
                let closed = self.engine.as_ref().is_some_and(|out| out.is_closing());
                return if closed {
                    Ok(())
                } else {
                    Err("still open".into())
                };
            }
            (_, ".") if who.starts_with('c') => {
                let wire = who[1..]
                    .parse::<usize>()
                    .ok()
                    .and_then(|n| self.wires.get(n - 1));
                return if wire.is_some_and(|w| w.1.is_closing()) {
                    Ok(())
                } else {
                    Err("still open".into())
                };
            }
            (_, ".") => {
                let closed = !self.balancer(who).reads || self.balancers[who].out.is_closing();
                return if closed {
                    Ok(())
                } else {
                    Err("still read and open".into())
                };
            }
            ("", "=") => {
                let counters = self.serve.counter_lines();
                let want = format!("counter {} {}", words[0], words[1]);
                let found = counters
                    .lines()
                    .find(|l| l.starts_with(&format!("counter {} ", words[0])));
                return if found == Some(&want) {
                    Ok(())
                } else {
                    Err(format!("found {found:?}"))
                };
            }
            _ if first == "kept" => {
                let (to, from) = channel();
                self.disk = Some(from);
                self.serve.set_durability(DurabilityQueue::new(
                    DurableResults::new(1_000, 100_000),
                    to,
                ));
            }
            _ if first == "disk" => {
                self.quick = false;
                if words[0] != "holds" {
                    self.disk(words[0] == "lasts");
                }
            }
            _ if first == "late" => self.late = Duration::from_millis(millis(words[0])),
            _ if first == "crowd" => {
                self.serve.evict_connection(self.now);
            }
            _ if first == "leave" => self
                .serve
                .drain(self.now, Duration::from_millis(millis(words[0]))),
            _ => match words[0] {
                "req" => self.req(first, &words[1..]),
                "lost" => self.lost(first),
                "end" => {
                    let no = self.balancer(first).no;
                    self.serve.input_ended(no);
                }
                "endless" => self.feed(first, &[b'x'; 40_000]),
                "deaf" => self.deaf = Some(first.to_string()),
                "link" => self.link(),
                "moved" => self.serve.calls_mut().catalogue_moved(self.now),
                "mute" => self.mute = true,
                "speak" => {
                    self.mute = false;
                    let heard = self.serve.engine_link_mut().proof() - 1;
                    self.feed("e", stats(&heard.to_string()).as_bytes());
                }
                _ => return Err("says nothing that can be played".into()),
            },
        }
        self.moment();
        Ok(())
    }
}

#[test]
fn scenarios() {
    let mut files: Vec<_> =
        std::fs::read_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios"))
            .expect("the scenarios")
            .map(|f| f.expect("a file").path())
            .collect();
    files.sort();
    assert!(!files.is_empty());
    let mut failures = vec![];
    for file in files {
        let text = std::fs::read_to_string(&file)
            .expect("a text file")
            .replace("\\\n", "");
        let name = file
            .file_name()
            .expect("a name")
            .to_string_lossy()
            .into_owned();
        for cut in [usize::MAX, 1] {
            let mut play = Play::new(cut);
            for line in text
                .lines()
                .map(str::trim)
                .filter(|l| !l.is_empty() && !l.starts_with('#'))
            {
                if let Err(why) = play.line(line) {
                    failures.push(format!("{name} cut {cut}: {line}\n    {why}"));
                }
            }
            // Whatever happened: reqs read are the answers, the gone and those still open.
            let counters = play.serve.counter_lines();
            let sum = |names: &[&str]| -> u64 {
                let of = |l: &str| names.iter().any(|n| l.starts_with(&format!("counter {n}")));
                counters
                    .lines()
                    .filter(|l| of(l))
                    .filter_map(|l| l.rsplit(' ').next()?.parse::<u64>().ok())
                    .sum()
            };
            let (read, ended) = (sum(&["read."]), sum(&["answered.", "gone ", "open "]));
            if read != ended {
                failures.push(format!(
                    "{name} cut {cut}: {read} reqs read, {ended} accounted for"
                ));
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
