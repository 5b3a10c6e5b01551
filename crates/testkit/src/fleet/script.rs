//! Scripts of faults: what is done to a fleet and what must come of it, a line each. Nothing waits for a time;
//! what is waited for is a condition, with a term.
//!
//! ```text
//! servers 5                    n1 to n5, none started
//! zone north n1 n2             their zone; it may stand for them below. `all` stands for everyone
//! set memory=4s                also suspicion=, probe=, most=, join=n4,n5 (n1 unless told)
//! start n1 n2                  under their names; `start n3 clock=-300s` with another Unix clock
//! namesake n5 n2               n5 starts under the name of n2
//! kill n3   stop n3   continue n3     kill -9, SIGSTOP, SIGCONT
//! drain n2                     SIGTERM: it drains, leaves and ends
//! cut north | n3 n4 | n5       groups that hear only themselves; `oneway n1 > n2 n3` what n1 says is lost
//! heal                         no cut of either kind
//! loss 0.1   double 0.05   spoil 0.01   delay 5ms 40ms       of all datagrams from here on
//! calm                         none of these four any more
//! replay n2                    everything that was sent to n2 is sent again
//! settle 10s                   all that run and are not cut off from each other hold each other alive, no
//!                              others, and have one digest, within 10 s
//! sees n1 n3 down 8s           n1 holds n3 down (or joining, alive, suspect, draining, left, unknown)
//! hears all part 8s            all that run hear part (or whole, alone)
//! for 60s                      simulated only: so much time passes
//! downs 0                      simulated only: servers declared down while they lived and were not cut off
//! set budget=64 servers=12     a budget of so many calls for so many servers; also seats=on, lease=1s,
//!                              longest=500ms, call=20ms (what one takes)
//! demand n1 40                 n1 has work for 40 calls at a time, from here on
//! budget n1 32                 the operator sets another size at n1, which reads it again
//! has n1 60 3s                 n1 may use at least 60 within 3 s; `spares n1 10 3s` at most 10
//! uses all 56 3s               all together have at least so many calls in hand
//! peak 64                      never had all together more than 64 in hand since the last such line
//! ```

use madderbay::time::Duration;
use madderbay_membership::{Connectivity, MemberState};
use std::path::Path;

/// What is done to a fleet; servers are numbers from 0.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Start {
        who: usize,
        name: usize,
        clock: Duration,
        back: bool,
    },
    Kill(usize),
    Stop(usize),
    Continue(usize),
    Drain(usize),
    Cut(Vec<Vec<usize>>),
    OneWay(usize, Vec<usize>),
    Heal,
    Network {
        loss: Option<f64>,
        double: Option<f64>,
        spoil: Option<f64>,
        delay: Option<(Duration, Duration)>,
    },
    Replay(usize),
    Demand(usize, u32),
    Budget(usize, u32),
    Peak(u32),
    For(Duration),
    Downs(usize),
}

/// What must come of it.
#[derive(Clone, Debug, PartialEq)]
pub enum Condition {
    Settled,
    Sees {
        who: Vec<usize>,
        of: usize,
        state: Option<MemberState>,
    },
    Hears {
        who: Vec<usize>,
        hears: Connectivity,
    },
    /// May use at least, and at most, so many.
    Has {
        who: Vec<usize>,
        least: u32,
        most: u32,
    },
    /// Have that many calls in hand, together.
    Uses {
        who: Vec<usize>,
        least: u32,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    Action(Action),
    Within(Condition, Duration),
}

/// A budget over the whole fleet, and the calls made under it.
#[derive(Clone, Debug)]
pub struct QuotaSetup {
    pub whole: u32,
    pub servers: u32,
    /// Each server has a seat of its own.
    pub seats: bool,
    pub lease: Duration,
    pub longest: Duration,
    pub call: Duration,
    /// Of the real program: whose calls.
    pub handlers: &'static str,
}

/// How a fleet is set.
#[derive(Clone, Debug)]
pub struct FleetSetup {
    pub servers: usize,
    /// By server.
    pub zones: Vec<String>,
    pub memory: Duration,
    pub suspicion: Duration,
    pub probe: Duration,
    pub most: usize,
    pub join: Vec<usize>,
    /// Without, as plain SWIM: simulated only.
    pub minds_itself: bool,
    pub budget: Option<QuotaSetup>,
    /// Reqs are counted over windows of this length.
    pub window: Option<Duration>,
}

impl FleetSetup {
    pub fn of(servers: usize) -> FleetSetup {
        FleetSetup {
            servers,
            zones: vec!["north".into(); servers],
            memory: Duration::from_millis(60_000),
            suspicion: Duration::from_millis(3_000),
            probe: Duration::from_millis(500),
            most: 2_000,
            join: vec![0],
            minds_itself: true,
            budget: None,
            window: None,
        }
    }
}

/// A script, with the line of each step.
pub struct Script {
    pub setup: FleetSetup,
    pub steps: Vec<(usize, Step)>,
}

pub fn name(server: usize) -> String {
    format!("n{}", server + 1)
}

fn span(text: &str) -> Result<Duration, String> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(n) => (n, 0.001),
        None => (text.strip_suffix('s').unwrap_or("none"), 1.0),
    };
    let n: f64 = number
        .parse()
        .map_err(|_| format!("'{text}' is no time, as in 8s or 40ms"))?;
    Ok(Duration::from_secs_f64(n * unit))
}

fn number(text: &str) -> Result<u32, String> {
    text.parse().map_err(|_| format!("'{text}' is no number"))
}

fn part(text: Option<&&str>) -> Result<f64, String> {
    let n = text
        .and_then(|t| t.parse::<f64>().ok())
        .filter(|n| (0.0..=1.0).contains(n));
    n.ok_or_else(|| "a part from 0 to 1 is wanted".into())
}

const STATES: [MemberState; 6] = [
    MemberState::Joining,
    MemberState::Alive,
    MemberState::Suspect,
    MemberState::Draining,
    MemberState::Down,
    MemberState::Left,
];
const HEARD: [Connectivity; 3] = [
    Connectivity::Complete,
    Connectivity::Partial,
    Connectivity::Isolated,
];

impl FleetSetup {
    fn one(&self, word: &str) -> Result<usize, String> {
        let n = word.strip_prefix('n').and_then(|n| n.parse::<usize>().ok());
        let n = n.filter(|n| (1..=self.servers).contains(n));
        n.map(|n| n - 1)
            .ok_or_else(|| format!("'{word}' is no server"))
    }

    /// Servers by their names, their zones, or all.
    fn some(&self, words: &[&str]) -> Result<Vec<usize>, String> {
        let mut found = vec![];
        for word in words {
            if *word == "all" {
                found.extend(0..self.servers);
            } else if self.zones.iter().any(|z| z == word) {
                found.extend((0..self.servers).filter(|s| self.zones[*s] == *word));
            } else {
                found.push(self.one(word)?);
            }
        }
        Ok(found)
    }

    fn set(&mut self, word: &str) -> Result<(), String> {
        let (key, value) = word.split_once('=').ok_or("set KEY=VALUE")?;
        match key {
            "memory" => self.memory = span(value)?,
            "suspicion" => self.suspicion = span(value)?,
            "probe" => self.probe = span(value)?,
            "most" => self.most = value.parse().map_err(|_| "most= is a number")?,
            "join" => {
                self.join = value
                    .split(',')
                    .map(|w| self.one(w))
                    .collect::<Result<_, _>>()?
            }
            "window" => self.window = Some(span(value)?),
            "budget" => {
                let whole = value.parse().map_err(|_| "budget= is a number")?;
                self.budget = Some(QuotaSetup {
                    whole,
                    servers: self.servers as u32,
                    seats: false,
                    lease: Duration::from_millis(1_000),
                    longest: Duration::from_millis(500),
                    call: Duration::from_millis(20),
                    handlers: "book",
                });
            }
            _ => {
                let budget = self
                    .budget
                    .as_mut()
                    .ok_or_else(|| format!("no such key {key}"))?;
                match key {
                    "servers" => {
                        budget.servers = value.parse().map_err(|_| "servers= is a number")?
                    }
                    "seats" => budget.seats = value == "on",
                    "lease" => budget.lease = span(value)?,
                    "longest" => budget.longest = span(value)?,
                    "call" => budget.call = span(value)?,
                    _ => return Err(format!("no such key {key}")),
                }
            }
        }
        Ok(())
    }

    fn steps(&self, words: &[&str]) -> Result<Vec<Step>, String> {
        let each = |make: fn(usize) -> Action| -> Result<Vec<Step>, String> {
            Ok(self
                .some(&words[1..])?
                .into_iter()
                .map(|s| Step::Action(make(s)))
                .collect())
        };
        let act = |act| Ok(vec![Step::Action(act)]);
        let net = |loss, double, spoil, delay| Action::Network {
            loss,
            double,
            spoil,
            delay,
        };
        match words {
            ["start", names @ .., last] if last.starts_with("clock=") => {
                let by = &last["clock=".len()..];
                let back = by.starts_with('-');
                let clock = span(by.trim_start_matches('-'))?;
                let who = self.some(names)?;
                Ok(who
                    .into_iter()
                    .map(|who| {
                        Step::Action(Action::Start {
                            who,
                            name: who,
                            clock,
                            back,
                        })
                    })
                    .collect())
            }
            ["start", ..] => each(|who| Action::Start {
                who,
                name: who,
                clock: Duration::ZERO,
                back: false,
            }),
            ["namesake", who, of] => {
                let (who, name) = (self.one(who)?, self.one(of)?);
                act(Action::Start {
                    who,
                    name,
                    clock: Duration::ZERO,
                    back: false,
                })
            }
            ["kill", ..] => each(Action::Kill),
            ["stop", ..] => each(Action::Stop),
            ["continue", ..] => each(Action::Continue),
            ["drain", ..] => each(Action::Drain),
            ["cut", groups @ ..] => {
                let groups = groups
                    .split(|w| *w == "|")
                    .map(|g| self.some(g))
                    .collect::<Result<_, _>>()?;
                act(Action::Cut(groups))
            }
            ["oneway", from, ">", to @ ..] => act(Action::OneWay(self.one(from)?, self.some(to)?)),
            ["heal"] => act(Action::Heal),
            ["loss", ..] => act(net(Some(part(words.get(1))?), None, None, None)),
            ["double", ..] => act(net(None, Some(part(words.get(1))?), None, None)),
            ["spoil", ..] => act(net(None, None, Some(part(words.get(1))?), None)),
            ["delay", least, most] => act(net(None, None, None, Some((span(least)?, span(most)?)))),
            ["calm"] => act(net(None, None, None, None)),
            ["replay", who] => act(Action::Replay(self.one(who)?)),
            ["settle", term] => Ok(vec![Step::Within(Condition::Settled, span(term)?)]),
            ["sees", who, of, state, term] => {
                let state = match *state {
                    "unknown" => None,
                    word => Some(
                        STATES
                            .into_iter()
                            .find(|s| s.to_string() == word)
                            .ok_or("no such state")?,
                    ),
                };
                let (who, of) = (self.some(&[who])?, self.one(of)?);
                Ok(vec![Step::Within(
                    Condition::Sees { who, of, state },
                    span(term)?,
                )])
            }
            ["hears", who, hears, term] => {
                let hears = HEARD
                    .into_iter()
                    .find(|h| h.to_string() == *hears)
                    .ok_or("no such hearing")?;
                let who = self.some(&[who])?;
                Ok(vec![Step::Within(
                    Condition::Hears { who, hears },
                    span(term)?,
                )])
            }
            ["demand", names @ .., n] => {
                let n = number(n)?;
                Ok(self
                    .some(names)?
                    .into_iter()
                    .map(|s| Step::Action(Action::Demand(s, n)))
                    .collect())
            }
            ["budget", names @ .., n] => {
                let n = number(n)?;
                Ok(self
                    .some(names)?
                    .into_iter()
                    .map(|s| Step::Action(Action::Budget(s, n)))
                    .collect())
            }
            ["peak", n] => act(Action::Peak(number(n)?)),
            [word @ ("has" | "spares"), who, n, term] => {
                let (who, n) = (self.some(&[who])?, number(n)?);
                let (least, most) = if *word == "has" {
                    (n, u32::MAX)
                } else {
                    (0, n)
                };
                Ok(vec![Step::Within(
                    Condition::Has { who, least, most },
                    span(term)?,
                )])
            }
            ["uses", names @ .., n, term] => {
                let (who, least) = (self.some(names)?, number(n)?);
                Ok(vec![Step::Within(
                    Condition::Uses { who, least },
                    span(term)?,
                )])
            }
            ["for", time] => act(Action::For(span(time)?)),
            ["downs", n] => act(Action::Downs(n.parse().map_err(|_| "a number is wanted")?)),
            _ => Err("no such step".into()),
        }
    }
}

impl Script {
    /// What is wrong is told in one line with its place.
    pub fn read(file: &str, text: &str) -> Result<Script, String> {
        let mut setup = FleetSetup::of(1);
        let mut steps = vec![];
        for (no, line) in (1..).zip(text.lines()) {
            let line = line.split('#').next().unwrap_or_default();
            let words: Vec<&str> = line.split_whitespace().collect();
            let wrong = |what: String| format!("{file}:{no}: {what}");
            match words[..] {
                [] => {}
                ["servers", n] => {
                    let n = n
                        .parse()
                        .map_err(|_| wrong("a number of servers is wanted".into()))?;
                    setup = FleetSetup {
                        servers: n,
                        zones: vec!["north".into(); n],
                        ..setup
                    };
                }
                ["zone", zone, ref names @ ..] => {
                    for s in setup.some(names).map_err(wrong)? {
                        setup.zones[s] = zone.into();
                    }
                }
                ["set", ref words @ ..] => {
                    words.iter().try_for_each(|w| setup.set(w)).map_err(wrong)?;
                }
                _ => steps.extend(
                    setup
                        .steps(&words)
                        .map_err(wrong)?
                        .into_iter()
                        .map(|s| (no, s)),
                ),
            }
        }
        Ok(Script { setup, steps })
    }
}

/// The scripts of a folder by name, those whose name holds what FLEET_SCRIPT says, if it says anything. One that
/// can't be read is a fault of the test.
pub fn load_scripts(folder: &Path) -> Vec<(String, Script)> {
    let only = std::env::var("FLEET_SCRIPT").unwrap_or_default();
    let mut found = vec![];
    for entry in std::fs::read_dir(folder)
        .expect("a folder of scripts")
        .flatten()
    {
        let name = entry.file_name().to_string_lossy().to_string();
        if name.contains(&only) {
            let text = std::fs::read_to_string(entry.path()).expect("text");
            found.push((name.clone(), Script::read(&name, &text).expect("a script")));
        }
    }
    found.sort_by(|a, b| a.0.cmp(&b.0));
    found
}

/// A fleet that a script can be played on.
pub trait Fleet {
    fn act(&mut self, act: &Action) -> Result<(), String>;
    /// What is still amiss, if anything.
    fn unmet(&mut self, what: &Condition) -> Option<String>;
    /// Lets a little time pass.
    fn pass(&mut self);
    /// Time since the fleet was made.
    fn at(&self) -> Duration;
}

/// Plays a script; gives how long each condition took, by line, or the first that did not come in its term.
pub fn run_script(
    script: &Script,
    fleet: &mut impl Fleet,
) -> Result<Vec<(usize, Duration)>, String> {
    let mut took = vec![];
    for (line, step) in &script.steps {
        match step {
            Step::Action(act) => fleet
                .act(act)
                .map_err(|what| format!("line {line}: {what}"))?,
            Step::Within(condition, term) => {
                let began = fleet.at();
                while let Some(amiss) = fleet.unmet(condition) {
                    if fleet.at().saturating_sub(began) > *term {
                        return Err(format!(
                            "line {line}: not within {} s: {amiss}",
                            term.as_secs_f64()
                        ));
                    }
                    fleet.pass();
                }
                took.push((*line, fleet.at().saturating_sub(began)));
            }
        }
    }
    Ok(took)
}
