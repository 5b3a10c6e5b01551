//! The engine: so many cores shared evenly by the runs that are on them, in real time. A run works, may stand
//! at a call half way, and ends. It takes one link after the other and keeps its notices, as the real one
//! does.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde_json::Value;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};

/// Time slices of the cores, and notices kept for the next link.
const SLICE: Duration = Duration::from_millis(1);
const KEPT: usize = 4_000;

/// What the runs of one handler do.
#[derive(Clone, Debug)]
pub struct HandlerWork {
    pub handler: String,
    /// Work on one core, least and most.
    pub ms: (f64, f64),
    pub calls: bool,
}

/// What was asked of the engine since it began.
#[derive(Clone, Debug, Default)]
pub struct EngineStats {
    /// Runs by the body that they came with.
    pub bodies: HashMap<String, u32>,
    pub most_at_once: usize,
}

enum Event {
    Linked(TcpStream),
    Line(u64, String),
    /// A req is answered: a run of it that stands at a call ends.
    Answered(String),
    RequestKind(Sender<EngineStats>),
    /// The link is broken by this side.
    Break,
}

/// The other threads' hold on an engine.
#[derive(Clone)]
pub struct Engine {
    pub address: SocketAddr,
    to: Sender<Event>,
}

impl Engine {
    pub fn start(cores: f64, works: Vec<HandlerWork>, seed: u64) -> Engine {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (to, from) = channel();
        let accepting = to.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if accepting.send(Event::Linked(stream)).is_err() {
                    return;
                }
            }
        });
        let lines = to.clone();
        std::thread::spawn(move || Cores::new(cores, works, seed).run(&from, &lines));
        Engine { address, to }
    }

    pub fn answered(&self, name: &str) {
        let _ = self.to.send(Event::Answered(name.into()));
    }

    pub fn break_link(&self) {
        let _ = self.to.send(Event::Break);
    }

    pub fn stats(&self) -> EngineStats {
        let (to, from) = channel();
        let _ = self.to.send(Event::RequestKind(to));
        from.recv_timeout(crate::WAIT_TIMEOUT).unwrap_or_default()
    }
}

enum At {
    Core,
    Call,
}

struct Run {
    left_ms: f64,
    /// Work left at which it stands at its call.
    call_at: Option<f64>,
    at: At,
    began: Instant,
    answered: bool,
}

struct Cores {
    cores: f64,
    works: Vec<HandlerWork>,
    chance: oorandom::Rand64,
    runs: BTreeMap<String, Run>,
    link: Option<TcpStream>,
    links: u64,
    serial: u64,
    notices: VecDeque<(u64, String)>,
    ran: EngineStats,
}

impl Cores {
    fn new(cores: f64, works: Vec<HandlerWork>, seed: u64) -> Cores {
        Cores {
            cores,
            works,
            chance: oorandom::Rand64::new(u128::from(seed)),
            runs: BTreeMap::new(),
            link: None,
            links: 0,
            serial: 0,
            notices: VecDeque::new(),
            ran: EngineStats::default(),
        }
    }

    fn run(mut self, from: &Receiver<Event>, lines: &Sender<Event>) {
        let mut worked = Instant::now();
        loop {
            match from.recv_timeout(SLICE) {
                Ok(event) => self.event(event, lines),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let passed = worked.elapsed();
            if passed >= SLICE {
                worked = Instant::now();
                self.work(passed.as_secs_f64() * 1e3);
            }
        }
    }

    /// All that is on the cores gets its even part of them, at most one each.
    fn work(&mut self, ms: f64) {
        let on = self
            .runs
            .values()
            .filter(|r| matches!(r.at, At::Core))
            .count();
        let each = ms * (self.cores / on.max(1) as f64).min(1.0);
        let (mut over, mut calls) = (vec![], vec![]);
        for (name, run) in self.runs.iter_mut().filter(|r| matches!(r.1.at, At::Core)) {
            run.left_ms -= each;
            if run.call_at.is_some_and(|at| run.left_ms <= at) {
                run.call_at = None;
                run.at = At::Call;
                calls.push(name.clone());
            } else if run.left_ms <= 0.0 {
                over.push(name.clone());
            }
        }
        for name in over {
            self.end(&name, "good");
        }
        for name in calls {
            if self.runs[&name].answered {
                self.end(&name, "cut");
            } else {
                let blob = BASE64.encode(&name);
                self.notice(|n| {
                    format!(
                        "\"msg\":\"NEED\",\"serial\":{n},\"call\":\"{name}\",\"blob\":\"{blob}\""
                    )
                });
            }
        }
    }

    fn end(&mut self, name: &str, how: &str) {
        let Some(run) = self.runs.remove(name) else {
            return;
        };
        let ms = run.began.elapsed().as_millis();
        let blob = BASE64.encode(name);
        self.notice(|n| {
            let head =
                format!("\"msg\":\"DONE\",\"serial\":{n},\"call\":\"{name}\",\"how\":\"{how}\"");
            format!("{head},\"duration\":{ms},\"blob\":\"{blob}\"")
        });
    }

    fn notice(&mut self, members: impl FnOnce(u64) -> String) {
        self.serial += 1;
        let line = format!("{{{}}}\n", members(self.serial));
        self.say(&line);
        self.notices.push_back((self.serial, line));
        if self.notices.len() > KEPT {
            self.notices.pop_front();
        }
    }

    fn say(&mut self, line: &str) {
        if self
            .link
            .as_mut()
            .is_some_and(|l| l.write_all(line.as_bytes()).is_err())
        {
            self.link = None;
        }
    }

    fn event(&mut self, event: Event, lines: &Sender<Event>) {
        match event {
            Event::Linked(stream) => {
                let _ = stream.set_nodelay(true);
                self.links += 1;
                let (link, to) = (self.links, lines.clone());
                let reader = stream.try_clone().expect("a second handle");
                std::thread::spawn(move || {
                    for line in BufReader::new(reader).lines().map_while(Result::ok) {
                        if to.send(Event::Line(link, line)).is_err() {
                            return;
                        }
                    }
                });
                self.link = Some(stream);
            }
            Event::Line(link, line) if link == self.links => self.command(&line),
            Event::Line(..) => {}
            Event::Answered(name) => {
                let Some(run) = self.runs.get_mut(&name) else {
                    return;
                };
                run.answered = true;
                if matches!(run.at, At::Call) {
                    self.end(&name, "cut");
                }
            }
            Event::RequestKind(to) => {
                let _ = to.send(self.ran.clone());
            }
            Event::Break => {
                if let Some(link) = self.link.take() {
                    let _ = link.shutdown(std::net::Shutdown::Both);
                }
            }
        }
    }

    fn command(&mut self, line: &str) {
        let Ok(said) = serde_json::from_str::<Value>(line) else {
            return;
        };
        let text = |key: &str| said[key].as_str().unwrap_or_default().to_string();
        let name = text("call");
        match text("msg").as_str() {
            "ATTACH" => {
                let read = said["serial"].as_u64().unwrap_or(0);
                if read == 0 {
                    // A server that has just begun: notices are numbered anew, runs go on.
                    self.serial = 0;
                    self.notices.clear();
                }
                let missed: String = self
                    .notices
                    .iter()
                    .filter(|n| n.0 > read)
                    .map(|n| n.1.as_str())
                    .collect();
                self.say("{\"msg\":\"HELLO\",\"how\":\"old\",\"duration\":3600000}\n");
                self.say(&missed);
            }
            "STAT" => {
                let on = self
                    .runs
                    .values()
                    .filter(|r| matches!(r.at, At::Core))
                    .count() as f64;
                let used = (on / self.cores).min(1.0);
                let cookie = text("cookie");
                self.say(&format!(
                    "{{\"msg\":\"STATS\",\"cookie\":\"{cookie}\",\"stats\":[{used},{on},0.1,1]}}\n"
                ));
            }
            "RUN" if !self.runs.contains_key(&name) => {
                let service = text("service");
                let Some(work) = self.works.iter().find(|w| w.handler == service).cloned() else {
                    return self.say(&format!(
                        "{{\"msg\":\"NO\",\"how\":\"RUN\",\"call\":\"{name}\"}}\n"
                    ));
                };
                *self.ran.bodies.entry(text("blob")).or_default() += 1;
                let left_ms = work.ms.0 + (work.ms.1 - work.ms.0) * self.chance.rand_float();
                let call_at = work.calls.then_some(left_ms * 0.5);
                let run = Run {
                    left_ms,
                    call_at,
                    at: At::Core,
                    began: Instant::now(),
                    answered: false,
                };
                self.runs.insert(name, run);
                self.ran.most_at_once = self.ran.most_at_once.max(self.runs.len());
            }
            "FEED" | "SKIP" => {
                if let Some(run) = self.runs.get_mut(&name) {
                    run.at = At::Core;
                }
            }
            "HALT" => self.end(&name, "cut"),
            _ => {}
        }
    }
}
