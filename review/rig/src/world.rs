//! A small fleet whose servers share a quota of upstream calls, with the stand-ins around it.

use crate::Verdict;
use crate::catalogue::{Catalogue, Level};
use crate::client::{Answer, Client, Tries};
use crate::engine::{Engine, Work};
use crate::later::Later;
use crate::record::Record;
use crate::registry::Registry;
use crate::server::{Platform, SETTINGS, Server, free_udp_address};
use crate::text::{Draw, base64};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// What a fleet is made of.
pub struct Plan {
    pub servers: usize,
    /// The platform's settings of each server.
    pub settings: String,
    pub works: Vec<Work>,
    /// The time that a call takes, in milliseconds.
    pub call_ms: u64,
    /// The class of the requests, whether they carry a key, and how long their clients wait.
    pub class: &'static str,
    pub keyed: bool,
    pub allow_ms: u64,
    /// The quota that all servers share, if there is one.
    pub budget: Option<Budget>,
}

impl Plan {
    /// A fleet whose `book` requests make one call each, under a shared quota of calls.
    pub fn quota(servers: usize, budget: Budget, call_ms: u64) -> Plan {
        Plan {
            servers,
            settings: SETTINGS.replace("\"servers\": 2", &format!("\"servers\": {servers}")),
            works: vec![Work { class: "book", before_ms: 2, calls: 1, after_ms: 2 }],
            call_ms,
            class: "book",
            keyed: true,
            allow_ms: 11_000,
            budget: Some(budget),
        }
    }
}

/// The settings of `[budget]`, as one server's operator file has them.
#[derive(Clone, Copy)]
pub struct Budget {
    pub calls: u32,
    pub servers: u32,
    pub lease_ms: u64,
    pub longest_ms: u64,
}

/// The sections of `deploy/operator.ini`.
const POOLS: &str = "[pools]\nenabled = on\n[reserve]\npart = 0.1\n";

pub struct Node {
    pub server: Server,
    pub engine: Engine,
    pub platform: Platform,
    members: SocketAddr,
    /// Whether requests are sent to it, and how many a second.
    load: Arc<AtomicU64>,
}

pub struct World {
    pub nodes: Vec<Node>,
    pub catalogue: Catalogue,
    pub record: Arc<Record>,
    pub tries: Tries,
    folder: PathBuf,
    stop: Arc<AtomicBool>,
    pub later: Later,
    plan: Plan,
}

impl World {
    /// Makes the stand-ins and the files of the servers; nothing is started.
    pub fn new(record: &Arc<Record>, plan: Plan) -> World {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        let later = Later::start();
        // A little less than the 200 ms of the settings.
        let catalogue = Catalogue::start(plan.call_ms, 180, &later, record);
        let registry = Registry::start();
        let nodes = (1..=plan.servers).map(|number| {
            let name = format!("n{number}");
            let engine = Engine::start(&format!("e{number}"), &plan.works, &later, record);
            let platform = Platform {
                engine: engine.address,
                registry: registry.address,
                catalogue: catalogue.address_for(&name),
            };
            let server = Server::new(&name, &folder, &plan.settings, record);
            server.write_config(&platform);
            Node { server, engine, platform, members: free_udp_address(), load: Arc::default() }
        });
        let world = World {
            nodes: nodes.collect(),
            catalogue,
            record: record.clone(),
            tries: Arc::default(),
            folder,
            stop: Arc::default(),
            later,
            plan,
        };
        for (index, node) in world.nodes.iter().enumerate() {
            match world.plan.budget {
                Some(budget) => world.write_operator(index, budget),
                None => node.server.write_operator(POOLS),
            }
        }
        world
    }

    pub fn write_operator(&self, index: usize, budget: Budget) {
        let join: Vec<String> = self.nodes.iter().map(|node| node.members.to_string()).collect();
        let Budget { calls, servers, lease_ms, longest_ms } = budget;
        let text = format!(
            "{POOLS}[members]\nenabled = on\nlisten = {}\njoin = {}\nfleet = review\nnetworks = 127.0.0.0/8\n\
             [shared]\nenabled = on\nseat = {}\n\
             [budget trip-book]\nhandlers = book\ncalls = {calls}\nservers = {servers}\nlease_ms = {lease_ms}\nlongest_ms = {longest_ms}\n",
            self.nodes[index].members,
            join.join(", "),
            index + 1
        );
        self.nodes[index].server.write_operator(&text);
        let name = &self.nodes[index].server.name;
        self.record.line(format!(
            "{name}: operator file: calls {calls}, servers {servers}, lease_ms {lease_ms}, longest_ms {longest_ms}"
        ));
    }

    /// Starts all servers and, for each, the thread that sends its load.
    pub fn start(&mut self) -> Result<(), Verdict> {
        for node in &mut self.nodes {
            node.server.start();
        }
        for node in &self.nodes {
            if !node.server.wait_ready() {
                return Err(Verdict::NotRun(format!("{} is not ready", node.server.name)));
            }
        }
        for index in 0..self.nodes.len() {
            self.spawn_load(index);
        }
        Ok(())
    }

    /// Sets how many requests a second a server gets from now on.
    pub fn load(&self, index: usize, per_second: u64) {
        let node = &self.nodes[index];
        self.record.line(format!("{}: load {per_second} requests a second", node.server.name));
        node.load.store(per_second, Ordering::Relaxed);
    }

    fn spawn_load(&self, index: usize) {
        let node = &self.nodes[index];
        let (name, address) = (node.server.name.clone(), node.server.address);
        let (engine, load, stop) = (node.engine.clone(), node.load.clone(), self.stop.clone());
        let (tries, record) = (self.tries.clone(), self.record.clone());
        let mut draw = Draw(index as u64 + 1);
        let Plan { class, keyed, allow_ms, .. } = self.plan;
        std::thread::spawn(move || {
            let mut client: Option<Client> = None;
            while !stop.load(Ordering::Relaxed) {
                let per_second = load.load(Ordering::Relaxed);
                if per_second == 0 {
                    std::thread::sleep(Duration::from_millis(10));
                    continue;
                }
                client = client.filter(Client::is_usable);
                if client.is_none() {
                    client = Client::connect(&name, address, &engine, &tries, &record).ok();
                }
                if let Some(client) = &client {
                    let reference = format!("{:016x}", draw.next());
                    let word = format!("{:016x}{:016x}", draw.next(), draw.next());
                    let key = if keyed { word.as_str() } else { "" };
                    client.send(class, &reference, key, &base64(word.as_bytes()), allow_ms);
                }
                std::thread::sleep(Duration::from_millis(1_000 / per_second));
            }
        });
    }

    pub fn sleep(&self, ms: u64) {
        std::thread::sleep(Duration::from_millis(ms));
    }

    /// Waits until the calls in flight reach `count`; returns whether they did.
    pub fn wait_in_flight(&self, count: usize, ms: u64) -> bool {
        let until = self.record.ms() + ms;
        while self.record.ms() < until {
            if self.catalogue.in_flight() >= count {
                return true;
            }
            self.sleep(5);
        }
        false
    }

    /// Ends all servers and writes their logs and the sums of the answers to the record.
    pub fn end(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for node in &mut self.nodes {
            node.server.kill();
        }
        for node in &self.nodes {
            node.server.record_log();
        }
        let tries = self.tries.lock().unwrap();
        let count = |is: fn(&Answer) -> bool| {
            tries.iter().filter(|one| one.answers.first().is_some_and(|(_, answer)| is(answer))).count()
        };
        self.record.say(format!(
            "requests sent {}, served {}, refused {}, failed {}",
            tries.len(),
            count(|answer| matches!(answer, Answer::Served(_))),
            count(|answer| matches!(answer, Answer::Refused)),
            count(|answer| matches!(answer, Answer::Failed(_))),
        ));
    }

    /// Ends the play and judges it: never more than `limit` upstream calls in flight.
    pub fn judge_calls(&mut self, limit: u32) -> Verdict {
        self.end();
        let levels = self.catalogue.levels();
        let over: Vec<&Level> = levels.iter().filter(|level| level.all > limit as usize).collect();
        let Some(most) = levels.iter().max_by_key(|level| level.all) else {
            return Verdict::NotRun("no call was made".into());
        };
        self.record.say(format!(
            "most calls in flight: {} at {} ms, {:?}, of these given up {}; limit {limit}",
            most.all, most.ms, most.by_server, most.given_up
        ));
        let (Some(first), Some(last)) = (over.first(), over.last()) else {
            return Verdict::Held;
        };
        Verdict::Broken(format!(
            "{} calls in flight where the quota is {limit}; over it {} times from {} ms to {} ms",
            most.all,
            over.len(),
            first.ms,
            last.ms
        ))
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for node in &mut self.nodes {
            node.server.kill();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
