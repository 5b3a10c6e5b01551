//! What a simulated server stands before: its engine, whose cores its runs share, and the backends of all.

use crate::fault::BackendFault as Ill;
use madderbay::time::{Duration, Timestamp};
use oorandom::Rand64;
use std::collections::{BTreeMap, VecDeque};

/// One run, and what it still needs of a core.
pub struct Run {
    left: f64,
    call_at: Option<f64>,
    on_core: bool,
    began: Timestamp,
    pub need: u64,
}

/// What came of a run at some moment.
pub enum Came {
    Call(String),
    Over(String, Duration),
}

/// Cores shared evenly by the runs on them.
pub struct Engine {
    cores: f64,
    pub slower: f64,
    pub runs: BTreeMap<String, Run>,
    worked: Timestamp,
    pub serial: u64,
}

impl Engine {
    pub fn new(now: Timestamp, cores: f64) -> Engine {
        Engine {
            cores,
            slower: 1.0,
            runs: BTreeMap::new(),
            worked: now,
            serial: 0,
        }
    }

    fn each(&self) -> f64 {
        let on = self.runs.values().filter(|r| r.on_core).count();
        (self.cores / on.max(1) as f64).min(1.0) / self.slower
    }

    pub fn on_cores(&self) -> usize {
        self.runs.values().filter(|r| r.on_core).count()
    }

    /// Works up to now; what came to a call or to its end, in the order of their names.
    pub fn work(&mut self, now: Timestamp) -> Vec<Came> {
        let done = (now - self.worked).as_secs_f64() * self.each();
        self.worked = now;
        let mut came = vec![];
        let mut over = vec![];
        for (name, run) in self.runs.iter_mut().filter(|r| r.1.on_core) {
            run.left -= done;
            if run.call_at.is_some_and(|at| run.left <= at + 1e-7) {
                (run.call_at, run.on_core) = (None, false);
                came.push(Came::Call(name.clone()));
            } else if run.left <= 1e-7 {
                over.push(name.clone());
            }
        }
        for name in over {
            let run = self.runs.remove(&name).expect("there");
            came.push(Came::Over(name, now - run.began));
        }
        came
    }

    /// When the next comes to a call or to its end.
    pub fn next(&self) -> Option<Timestamp> {
        let each = self.each();
        let left = self
            .runs
            .values()
            .filter(|r| r.on_core)
            .map(|r| r.left - r.call_at.unwrap_or(0.0));
        let least = left.min_by(f64::total_cmp)?;
        Some(
            self.worked + Duration::from_secs_f64(least.max(0.0) / each) + Duration::from_micros(2),
        )
    }

    pub fn run(&mut self, now: Timestamp, name: &str, secs: f64, calls: bool) {
        let call_at = calls.then_some(secs * 0.5);
        let run = Run {
            left: secs,
            call_at,
            on_core: true,
            began: now,
            need: 0,
        };
        self.runs.entry(name.into()).or_insert(run);
    }

    pub fn goes_on(&mut self, name: &str) {
        if let Some(run) = self.runs.get_mut(name) {
            run.on_core = true;
        }
    }

    pub fn began(&self, name: &str) -> Option<Timestamp> {
        self.runs.get(name).map(|r| r.began)
    }
}

/// A call at a backend: of which connection of which life of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    pub server: usize,
    pub life: u32,
    pub wire: u64,
    pub name: String,
    pub keyed: bool,
}

/// One backend: so many calls are worked on at a time, others wait.
pub struct Backend {
    pub ill: Option<Ill>,
    slots: usize,
    call: f64,
    busy: usize,
    waiting: VecDeque<u64>,
    pub calls: BTreeMap<u64, Call>,
    /// Calls done for keyed reqs, by name.
    pub done: BTreeMap<String, u32>,
    pub came: u64,
}

/// What becomes of a call that came.
pub enum Fares {
    /// It is worked on for so long.
    Works(Duration),
    Waits,
    Fails,
}

impl Backend {
    pub fn new(slots: usize, call: Duration) -> Backend {
        Backend {
            ill: None,
            slots,
            call: call.as_secs_f64(),
            busy: 0,
            waiting: VecDeque::new(),
            calls: BTreeMap::new(),
            done: BTreeMap::new(),
            came: 0,
        }
    }

    fn time(&self, chance: &mut Rand64) -> Duration {
        let times = if let Some(Ill::Slow { factor: times }) = self.ill {
            times
        } else {
            1.0
        };
        Duration::from_secs_f64(self.call * times * (0.5 - 0.5 * (1.0 - chance.rand_float()).ln()))
    }

    pub fn came(&mut self, no: u64, call: Call, chance: &mut Rand64) -> Fares {
        self.came += 1;
        match self.ill {
            Some(Ill::Failing) => return Fares::Fails,
            Some(Ill::Silent) => {
                self.calls.insert(no, call);
                return Fares::Waits;
            }
            _ => {}
        }
        self.calls.insert(no, call);
        if self.busy < self.slots {
            self.busy += 1;
            Fares::Works(self.time(chance))
        } else {
            self.waiting.push_back(no);
            Fares::Waits
        }
    }

    /// A call was worked on to its end; whose it was, and who is next and for how long.
    pub fn worked(
        &mut self,
        no: u64,
        chance: &mut Rand64,
    ) -> (Option<Call>, Option<(u64, Duration)>) {
        self.busy = self.busy.saturating_sub(1);
        let call = self.calls.remove(&no);
        if let Some(call) = call.as_ref().filter(|c| c.keyed) {
            *self.done.entry(call.name.clone()).or_default() += 1;
        }
        let mut next = None;
        while let Some(no) = self.waiting.pop_front() {
            if self.calls.contains_key(&no) {
                self.busy += 1;
                next = Some((no, self.time(chance)));
                break;
            }
        }
        (call, next)
    }

    /// All of one connection's calls are given up, or of a life.
    pub fn quit(&mut self, which: impl Fn(&Call) -> bool) -> usize {
        let before = self.calls.len();
        self.calls.retain(|_, c| !which(c));
        before - self.calls.len()
    }
}
