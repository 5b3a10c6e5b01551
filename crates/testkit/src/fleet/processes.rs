//! Many real servers, each between its own engine, catalogue and registry, on a relay each; faults between them
//! and to them; what each holds, asked at its control socket.

use super::relay::DatagramRelays;
use super::script::{Action, ActionError, Condition, Fleet, FleetSetup, name};
use crate::catalogue::Catalogue;
use crate::engine::{Engine, HandlerWork};
use crate::load_balancer::{Load, RequestKind, RequestRecord, rule_violations};
use crate::registry;
use crate::server::{Dependencies, Server, configuration};
use madderbay::time::Duration;
use serde_json::Value;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Receiver;
use std::thread::JoinHandle;
use std::time::{Duration as StdDuration, Instant};

/// Between two looks at a condition, so that looking costs the servers little.
const LOOK: StdDuration = StdDuration::from_millis(50);
/// What one look may take; a server that is stopped answers nothing.
const ANSWER: StdDuration = StdDuration::from_secs(5);
/// From the notice to leave to the kill, milliseconds.
const STOP_MS: u64 = 2_000;

/// Reqs that come to a server, of which each makes a call.
struct Loading {
    on: Arc<AtomicBool>,
    records: JoinHandle<Vec<RequestRecord>>,
    /// The server was killed or stopped meanwhile: nobody can answer for it.
    disturbed: bool,
}

/// Under a budget a call takes this long at the least, so that many in hand need few reqs.
const CALL_LEAST: StdDuration = StdDuration::from_millis(300);
/// What callers wait, and what they would like.
const ALLOW_MS: u64 = 4_000;

struct Node {
    server: Option<Server>,
    name: usize,
    stopped: bool,
    engine: Engine,
    catalogue: Catalogue,
    registry: SocketAddr,
    demand: u32,
    whole: u32,
    loads: Vec<Loading>,
    /// Where its own datagrams come in, behind its relay.
    heard: Option<SocketAddr>,
    _reports: Receiver<String>,
    socket: PathBuf,
}

pub struct ProcessFleet {
    pub setup: FleetSetup,
    binary: PathBuf,
    settings: String,
    /// More sections of every operator file, and of each server's own.
    pub operator: String,
    pub each: Vec<String>,
    relays: DatagramRelays,
    nodes: Vec<Node>,
    group: Vec<usize>,
    began: Instant,
    folder: PathBuf,
}

/// What one server says of its fleet.
#[derive(Clone, Debug)]
pub struct MembershipReport {
    pub hears: String,
    pub digest: String,
    pub active: usize,
    /// By name.
    pub states: HashMap<String, String>,
}

/// What one server says of its budget.
#[derive(Clone, Copy, Debug)]
pub struct QuotaReport {
    pub usable: u32,
    pub in_use: u32,
    pub own: u32,
    pub wants: u32,
}

impl ProcessFleet {
    /// `works` is what the engines know to run; `settings` the servers' own.
    pub fn new(
        setup: FleetSetup,
        binary: &Path,
        settings: &str,
        works: &[HandlerWork],
        seed: u64,
    ) -> ProcessFleet {
        // Under a budget what lies below is one for all.
        let took = setup
            .budget
            .as_ref()
            .map(|b| StdDuration::from_micros(b.call.as_micros()).max(CALL_LEAST));
        let below = took.map(|took| Catalogue::start(NO_QUEUE, took));
        ProcessFleet::over(below, setup, binary, settings, works, seed)
    }

    /// The same over one catalogue, if there is one, in place of one for each.
    pub fn over(
        below: Option<Catalogue>,
        setup: FleetSetup,
        binary: &Path,
        settings: &str,
        works: &[HandlerWork],
        seed: u64,
    ) -> ProcessFleet {
        use std::sync::atomic::{AtomicU32, Ordering};
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let n = COUNT.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("madderbay-stand-{}-{n}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let nodes = (0..setup.servers).map(|s| {
            let (registry, reports) = registry::start();
            Node {
                server: None,
                name: s,
                stopped: false,
                engine: Engine::start(2.0, works.to_vec(), seed + s as u64),
                catalogue: below
                    .clone()
                    .unwrap_or_else(|| Catalogue::start(8, StdDuration::from_millis(5))),
                registry,
                demand: 0,
                whole: setup.budget.as_ref().map_or(0, |b| b.whole),
                loads: vec![],
                heard: None,
                _reports: reports,
                socket: folder.join(format!("{s}.sock")),
            }
        });
        ProcessFleet {
            binary: binary.into(),
            settings: settings.into(),
            operator: String::new(),
            each: vec![String::new(); setup.servers],
            relays: DatagramRelays::start(setup.servers, seed),
            nodes: nodes.collect(),
            group: vec![0; setup.servers],
            began: Instant::now(),
            folder,
            setup,
        }
    }

    pub fn engine(&self, server: usize) -> &Engine {
        &self.nodes[server].engine
    }

    /// What lies below a server: under a budget one for all.
    pub fn catalogue(&self, server: usize) -> &Catalogue {
        &self.nodes[server].catalogue
    }

    pub fn server(&self, server: usize) -> Option<&Server> {
        self.nodes[server].server.as_ref()
    }

    pub fn socket(&self, server: usize) -> &Path {
        &self.nodes[server].socket
    }

    /// Where a server itself listens for datagrams, behind its relay.
    pub fn heard_at(&self, server: usize) -> Option<SocketAddr> {
        self.nodes[server].heard
    }

    fn start(&mut self, who: usize, named: usize, clock: Duration, back: bool) {
        let node = &mut self.nodes[who];
        let others = Dependencies {
            engine: node.engine.address,
            registry: node.registry,
            catalogue: node.catalogue.address,
        };
        let text = configuration("127.0.0.1:0", others, 128, STOP_MS, &self.settings);
        let text = text.replace("\"name\":\"n1\"", &format!("\"name\":\"{}\"", name(named)));
        let setup = &self.setup;
        let join: Vec<String> = setup
            .join
            .iter()
            .map(|j| self.relays.addresses[*j].to_string())
            .collect();
        let ms = |s: Duration| s.as_micros() / 1_000;
        let mut operator = format!(
            "[members]\nenabled = on\nlisten = 127.0.0.1:0\nadvertise = {}\njoin = {}\nzone = {}\n\
             members = {}\nprobe_ms = {}\nsuspicion_ms = {}\nmemory_s = {}\n[control]\nsocket = {}\n{}",
            self.relays.addresses[who],
            join.join(", "),
            setup.zones[who],
            setup.most,
            ms(setup.probe),
            ms(setup.suspicion),
            (ms(setup.memory) / 1_000).max(1),
            node.socket.display(),
            self.operator,
        );
        operator += &self.each[who];
        operator += &budget(setup, named, node.whole);
        let clock = format!("{}{}", if back { "-" } else { "" }, ms(clock));
        let mut server = Server::start_ahead(&self.binary, &text, Some(&operator), &clock);
        let heard = server
            .before
            .iter()
            .find_map(|l| l.split("members: heard at ").nth(1));
        let heard = heard
            .and_then(|l| l.split(',').next()?.parse().ok())
            .expect("where it hears");
        self.relays.hears(who, heard);
        // Its log is read on, so that writing it never waits; nobody needs it.
        drop(server.follow());
        (node.server, node.name, node.stopped, node.heard) =
            (Some(server), named, false, Some(heard));
        self.load(who);
    }

    /// Sends a server reqs for as many calls at a time as it is to have work for.
    fn load(&mut self, who: usize) {
        let node = &mut self.nodes[who];
        node.loads
            .iter()
            .for_each(|l| l.on.store(false, Ordering::Relaxed));
        let (Some(server), Some(b)) = (&node.server, &self.setup.budget) else {
            return;
        };
        if node.demand == 0 {
            return;
        }
        let took = StdDuration::from_micros(b.call.as_micros())
            .max(CALL_LEAST)
            .as_secs_f64();
        let rates = vec![(StdDuration::ZERO, f64::from(node.demand) / took)];
        let seed = self.began.elapsed().as_nanos() as u64;
        let load = Load {
            kinds: kinds(),
            rates,
            length: StdDuration::from_secs(600),
            seed,
            allow_ms: ALLOW_MS,
        };
        let (address, engine) = (server.address, node.engine.clone());
        let on = Arc::new(AtomicBool::new(true));
        let flag = on.clone();
        let records = std::thread::spawn(move || {
            let on = || flag.load(Ordering::Relaxed);
            load.run_while(address, |name| engine.answered(name), |_| (), on)
        });
        node.loads.push(Loading {
            on,
            records,
            disturbed: false,
        });
    }

    /// The server is killed or stopped: its callers can't expect anything.
    fn disturb(&mut self, who: usize) {
        for load in &mut self.nodes[who].loads {
            load.disturbed = true;
            load.on.store(false, Ordering::Relaxed);
        }
    }

    /// Ends all loads; what broke a rule, and how many reqs there were.
    pub fn finish_loads(&mut self) -> (usize, Vec<String>) {
        let (mut reqs, mut broken) = (0, vec![]);
        for s in 0..self.nodes.len() {
            self.nodes[s]
                .loads
                .iter()
                .for_each(|l| l.on.store(false, Ordering::Relaxed));
        }
        for node in &mut self.nodes {
            for load in std::mem::take(&mut node.loads) {
                let records = load.records.join().expect("loaded");
                reqs += records.len();
                let found = rule_violations(&records, &kinds(), &node.engine.stats().bodies);
                let answers = |w: &String| load.disturbed && w.contains(" answers");
                broken.extend(
                    found
                        .into_iter()
                        .filter(|w| !answers(w))
                        .map(|w| format!("{}: {w}", name(node.name))),
                );
            }
        }
        (reqs, broken)
    }

    /// What a server says of its budget.
    pub fn lent(&self, server: usize) -> Option<QuotaReport> {
        let lines = self.asked(server, "shared")?;
        let budget = lines.iter().find(|l| l["whole"].is_u64())?;
        let of = |key: &str| budget[key].as_u64().map(|n| n as u32);
        Some(QuotaReport {
            usable: of("usable")?,
            in_use: of("in_use")?,
            own: of("own")?,
            wants: of("wants")?,
        })
    }

    /// What a server tells of a count by the name of its key, and how far off that may be.
    pub fn counted(&self, server: usize, of: &str) -> Option<(f64, f64)> {
        let lines = self.asked(server, "shared")?;
        let line = lines.iter().find(|l| l["of"] == of)?;
        Some((line["value"].as_f64()?, line["bound"].as_f64()?))
    }

    /// How a server holds its backends, by name: the state, the part of its weight, and bad calls of late.
    pub fn routes(&self, server: usize) -> Option<HashMap<String, (String, f64, u64)>> {
        let lines = self.asked(server, "routes")?;
        let of = |l: &Value| {
            let (name, state) = (
                l["name"].as_str()?.to_string(),
                l["state"].as_str()?.to_string(),
            );
            Some((name, (state, l["weight"].as_f64()?, l["bad"].as_u64()?)))
        };
        lines.iter().skip(1).map(of).collect()
    }

    /// Puts other sections into a server's operator file and has it read that again.
    pub fn rewrite(&self, server: usize, edit: impl Fn(&str) -> String) {
        let server = self.server(server).expect("it runs");
        let path = server.operator.as_ref().expect("it has an operator file");
        let text = std::fs::read_to_string(path).expect("text");
        std::fs::write(path, edit(&text)).expect("written");
        server.signal("-HUP");
    }

    /// How all stand: calls in hand, those that may be, and work there is.
    fn all_lent(&self) -> String {
        let all = (0..self.nodes.len()).filter_map(|s| Some((name(s), self.lent(s)?)));
        let told =
            all.map(|(n, l)| format!("{n} {} of {}, work for {}", l.in_use, l.usable, l.wants));
        told.collect::<Vec<String>>().join("; ")
    }

    /// The lines of an answer at the control socket of a server; nothing where it does not answer.
    fn asked(&self, server: usize, what: &str) -> Option<Vec<Value>> {
        let node = &self.nodes[server];
        if node.server.is_none() || node.stopped {
            return None;
        }
        let mut stream = UnixStream::connect(&node.socket).ok()?;
        stream.set_read_timeout(Some(ANSWER)).ok()?;
        stream
            .write_all(format!("{{\"ask\":\"{what}\"}}\n").as_bytes())
            .ok()?;
        let mut found = vec![];
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            let line: Value = serde_json::from_str(&line).ok()?;
            if line["end"] == true {
                return Some(found);
            }
            found.push(line);
        }
        None
    }

    /// What a server holds; nothing where it does not answer.
    pub fn told(&self, server: usize) -> Option<MembershipReport> {
        let lines = self.asked(server, "members")?;
        let head = lines.first()?;
        let text = |v: &Value| v.as_str().unwrap_or_default().to_string();
        let states = lines[1..]
            .iter()
            .map(|m| (text(&m["name"]), text(&m["state"])))
            .collect();
        let active = head["active"].as_u64()? as usize;
        Some(MembershipReport {
            hears: text(&head["hears"]),
            digest: text(&head["digest"]),
            active,
            states,
        })
    }

    fn unsettled(&self) -> Option<String> {
        let mut views: Vec<(usize, MembershipReport)> = vec![];
        for (s, node) in self.nodes.iter().enumerate() {
            if node.server.is_none() || node.stopped {
                continue;
            }
            let Some(told) = self.told(s) else {
                return Some(format!("{} does not answer", name(s)));
            };
            // One whose name another has stands aside.
            if told
                .states
                .get(&name(node.name))
                .is_none_or(|own| own != "down")
            {
                views.push((s, told));
            }
        }
        let names = |g: usize| -> Vec<String> {
            let of = views
                .iter()
                .filter(|v| self.group[v.0] == g)
                .map(|v| name(self.nodes[v.0].name));
            let mut of: Vec<String> = of.collect();
            of.sort();
            of
        };
        for (s, told) in &views {
            let out = ["down", "left"];
            let mut held: Vec<String> = told
                .states
                .iter()
                .filter(|m| !out.contains(&m.1.as_str()))
                .map(|m| m.0.clone())
                .collect();
            held.sort();
            let truth = names(self.group[*s]);
            if held != truth {
                return Some(format!("{} holds {held:?} in, not {truth:?}", name(*s)));
            }
            let doubt = told
                .states
                .iter()
                .find(|m| m.1 == "suspect" || m.1 == "joining");
            if let Some((who, state)) = doubt {
                return Some(format!("{} holds {who} {state}", name(*s)));
            }
            let other = views
                .iter()
                .find(|v| self.group[v.0] == self.group[*s] && v.1.digest != told.digest);
            if let Some((other, _)) = other {
                return Some(format!("{} and {} differ", name(*s), name(*other)));
            }
        }
        None
    }
}

/// More slots than there are ever calls: none waits below.
const NO_QUEUE: usize = 100_000;

/// What the operator file says of a budget, if there is one.
fn budget(setup: &FleetSetup, named: usize, whole: u32) -> String {
    let Some(b) = &setup.budget else {
        return String::new();
    };
    let seat = if b.seats {
        format!("seat = {}\n", named + 1)
    } else {
        String::new()
    };
    let ms = |s: Duration| s.as_micros() / 1_000;
    format!(
        "[shared]\nenabled = on\n{seat}[budget below]\nhandlers = {}\ncalls = {whole}\nservers = {}\n\
         lease_ms = {}\nlongest_ms = {}\n",
        b.handlers,
        b.servers,
        ms(b.lease),
        ms(b.longest)
    )
}

fn kinds() -> Vec<RequestKind> {
    let target = StdDuration::from_secs(2);
    vec![RequestKind {
        handler: "book".into(),
        part: 1.0,
        target,
        keyed: true,
        project: "acme",
    }]
}

impl Drop for ProcessFleet {
    fn drop(&mut self) {
        self.nodes.iter_mut().for_each(|n| n.server = None);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Fleet for ProcessFleet {
    fn act(&mut self, act: &Action) -> Result<(), ActionError> {
        match act {
            Action::Start {
                who,
                name,
                clock,
                back,
            } => self.start(*who, *name, *clock, *back),
            Action::Kill(s) => {
                self.disturb(*s);
                self.nodes[*s].server = None;
            }
            Action::Demand(s, n) => {
                self.nodes[*s].demand = *n;
                self.load(*s);
            }
            Action::Budget {
                server: s,
                capacity: whole,
            } => {
                let node = &mut self.nodes[*s];
                node.whole = *whole;
                let server = node.server.as_ref().ok_or(ActionError::NotRunning)?;
                let path = server
                    .operator
                    .as_ref()
                    .ok_or(ActionError::NoOperatorFile)?;
                let text = std::fs::read_to_string(path)?;
                let kept = text.split("[shared]").next().unwrap_or_default();
                let fresh = format!("{kept}{}", budget(&self.setup, node.name, *whole));
                std::fs::write(path, fresh)?;
                server.signal("-HUP");
            }
            Action::Peak(most) => {
                let peak = self.nodes[0].catalogue.peak();
                if peak > *most as usize {
                    return Err(ActionError::TooManyCalls {
                        peak: peak as u64,
                        most: *most,
                    });
                }
            }
            Action::Stop(s) | Action::Continue(s) => {
                let stop = matches!(act, Action::Stop(_));
                self.disturb(*s);
                let node = &mut self.nodes[*s];
                node.server
                    .as_ref()
                    .ok_or(ActionError::NotRunning)?
                    .signal(if stop { "-STOP" } else { "-CONT" });
                node.stopped = stop;
                if !stop {
                    self.load(*s);
                }
            }
            Action::Drain(s) => {
                self.disturb(*s);
                let server = self.nodes[*s]
                    .server
                    .take()
                    .ok_or(ActionError::NotRunning)?;
                server.signal("-TERM");
                server.over();
            }
            Action::Cut(groups) => {
                for (no, group) in (1..).zip(groups) {
                    group.iter().for_each(|s| self.group[*s] = no);
                }
                self.relays.act(act);
            }
            Action::Heal => {
                self.group.fill(0);
                self.relays.act(act);
            }
            Action::For(_) | Action::Downs(_) => return Err(ActionError::SimulatedOnly),
            _ => self.relays.act(act),
        }
        Ok(())
    }

    fn unmet(&mut self, what: &Condition) -> Option<String> {
        let each = |who: &[usize], wrong: &dyn Fn(usize, &MembershipReport) -> Option<String>| {
            who.iter()
                .filter(|w| !self.nodes[**w].stopped && self.nodes[**w].server.is_some())
                .find_map(|w| match self.told(*w) {
                    Some(told) => wrong(*w, &told),
                    None => Some(format!("{} does not answer", name(*w))),
                })
        };
        match what {
            Condition::Settled => self.unsettled(),
            Condition::Sees { who, of, state } => {
                let wanted = state.map(|s| s.to_string());
                let others: Vec<usize> = if who.len() > 1 {
                    who.iter().copied().filter(|w| w != of).collect()
                } else {
                    who.clone()
                };
                each(&others, &|w, told| {
                    let seen = told.states.get(&name(*of));
                    (seen != wanted.as_ref())
                        .then(|| format!("{} sees {} {seen:?}", name(w), name(*of)))
                })
            }
            Condition::Has { who, least, most } => who
                .iter()
                .filter(|w| !self.nodes[**w].stopped && self.nodes[**w].server.is_some())
                .find_map(|w| {
                    let Some(lent) = self.lent(*w) else {
                        return Some(format!("{} does not answer", name(*w)));
                    };
                    let wrong = lent.usable < *least || lent.usable > *most;
                    wrong.then(|| {
                        format!("{} may use {}; {}", name(*w), lent.usable, self.all_lent())
                    })
                }),
            Condition::Uses { who, least } => {
                let used: u32 = who.iter().filter_map(|w| Some(self.lent(*w)?.in_use)).sum();
                (used < *least).then(|| format!("{used} calls are in hand, not {least}"))
            }
            Condition::Hears { who, hears } => each(who, &|w, told| {
                (told.hears != hears.to_string())
                    .then(|| format!("{} hears {}", name(w), told.hears))
            }),
        }
    }

    fn pass(&mut self) {
        std::thread::sleep(LOOK);
    }

    fn at(&self) -> Duration {
        Duration::from_micros(self.began.elapsed().as_micros() as u64)
    }
}
