//! What is done to a fleet, and when: a text file that a play reads and a search writes.
//!
//! ```text
//! servers 12                  n1 to n12, all started
//! backends 4
//! zones 3                     servers and backends by turns
//! seconds 30
//! rate 20                     reqs a second of each server
//! whole 24                    calls in hand below, of the whole fleet (with shared)
//! parts members shared routes pools        what is on; `none` for nothing
//! @2500 kill n3               milliseconds; `start n3`, `stop n3`, `continue n3`, `slow n3 4` (its engine)
//! @3000 halves                odd and even servers hear each other no more; `alone n3`, `oneway n3`, `heal`
//! @4000 net 0.2 0.1 0.05 300  loss, doubled, spoilt, and the longest delay in ms; `calm`
//! @5000 backend 2 silent      or `fails`, `down`, `slow 10`, `well`
//! @6000 load n3 2             so many times the usual reqs
//! plant repeats               a known fault that a search is to find: also `answers`, `runs`, `terms`, `suspicion`
//! ```

use oorandom::Rand64;
use std::fmt;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ill {
    Silent,
    Fails,
    Down,
    Slow(f64),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Deed {
    Kill(usize),
    Start(usize),
    Stop(usize),
    Continue(usize),
    /// Its engine is so many times slower.
    Slow(usize, f64),
    Halves,
    Alone(usize),
    OneWay(usize),
    Heal,
    Net {
        loss: f64,
        double: f64,
        spoil: f64,
        delay_ms: u64,
    },
    Calm,
    Backend(usize, Option<Ill>),
    Load(usize, f64),
}

impl fmt::Display for Deed {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Deed::Kill(s) => write!(f, "kill n{}", s + 1),
            Deed::Start(s) => write!(f, "start n{}", s + 1),
            Deed::Stop(s) => write!(f, "stop n{}", s + 1),
            Deed::Continue(s) => write!(f, "continue n{}", s + 1),
            Deed::Slow(s, times) => write!(f, "slow n{} {times}", s + 1),
            Deed::Halves => f.write_str("halves"),
            Deed::Alone(s) => write!(f, "alone n{}", s + 1),
            Deed::OneWay(s) => write!(f, "oneway n{}", s + 1),
            Deed::Heal => f.write_str("heal"),
            Deed::Net {
                loss,
                double,
                spoil,
                delay_ms,
            } => {
                write!(f, "net {loss} {double} {spoil} {delay_ms}")
            }
            Deed::Calm => f.write_str("calm"),
            Deed::Backend(b, None) => write!(f, "backend {b} well"),
            Deed::Backend(b, Some(Ill::Silent)) => write!(f, "backend {b} silent"),
            Deed::Backend(b, Some(Ill::Fails)) => write!(f, "backend {b} fails"),
            Deed::Backend(b, Some(Ill::Down)) => write!(f, "backend {b} down"),
            Deed::Backend(b, Some(Ill::Slow(times))) => write!(f, "backend {b} slow {times}"),
            Deed::Load(s, times) => write!(f, "load n{} {times}", s + 1),
        }
    }
}

/// A known fault, to show that the checks find it: each in another part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    /// One answer in two hundred is lost (core).
    Answers,
    /// The engine runs one req in fifty twice (what keyed reqs rest on).
    Runs,
    /// Calls outlast what budgets take for the longest (shared).
    Terms,
    /// As many repeats as first tries (routes).
    Repeats,
    /// Nobody who is suspected is ever down (members).
    Suspicion,
}

pub const PLANTS: [(&str, Plant); 5] = [
    ("answers", Plant::Answers),
    ("runs", Plant::Runs),
    ("terms", Plant::Terms),
    ("repeats", Plant::Repeats),
    ("suspicion", Plant::Suspicion),
];

/// Which parts of the program are on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Parts {
    pub members: bool,
    pub shared: bool,
    pub routes: bool,
    pub pools: bool,
}

impl Parts {
    pub const ALL: Parts = Parts {
        members: true,
        shared: true,
        routes: true,
        pools: true,
    };
}

impl fmt::Display for Parts {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let all = [
            (self.members, "members"),
            (self.shared, "shared"),
            (self.routes, "routes"),
            (self.pools, "pools"),
        ];
        let on: Vec<&str> = all.iter().filter(|p| p.0).map(|p| p.1).collect();
        f.write_str(&if on.is_empty() {
            "none".into()
        } else {
            on.join(" ")
        })
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct History {
    pub servers: usize,
    pub backends: usize,
    pub zones: usize,
    pub seconds: u64,
    pub rate: f64,
    pub whole: u32,
    pub parts: Parts,
    pub plant: Option<Plant>,
    /// By milliseconds since the start.
    pub deeds: Vec<(u64, Deed)>,
}

impl Default for History {
    fn default() -> History {
        History {
            servers: 6,
            backends: 4,
            zones: 2,
            seconds: 20,
            rate: 20.0,
            whole: 36,
            parts: Parts::ALL,
            plant: None,
            deeds: vec![],
        }
    }
}

impl fmt::Display for History {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        writeln!(
            f,
            "servers {}\nbackends {}\nzones {}",
            self.servers, self.backends, self.zones
        )?;
        writeln!(
            f,
            "seconds {}\nrate {}\nwhole {}\nparts {}",
            self.seconds, self.rate, self.whole, self.parts
        )?;
        if let Some((name, _)) = PLANTS.iter().find(|p| Some(p.1) == self.plant) {
            writeln!(f, "plant {name}")?;
        }
        self.deeds
            .iter()
            .try_for_each(|(at, deed)| writeln!(f, "@{at} {deed}"))
    }
}

fn number<T: std::str::FromStr>(word: Option<&&str>) -> Result<T, String> {
    let word = word.ok_or("a number is wanted")?;
    word.parse().map_err(|_| format!("'{word}' is no number"))
}

impl History {
    /// What is wrong is told in one line with its place.
    pub fn read(name: &str, text: &str) -> Result<History, String> {
        let mut found = History::default();
        for (no, line) in (1..).zip(text.lines()) {
            let line = line.split('#').next().unwrap_or_default();
            let words: Vec<&str> = line.split_whitespace().collect();
            found
                .line(&words)
                .map_err(|what| format!("{name}:{no}: {what}"))?;
        }
        found.deeds.sort_by_key(|d| d.0);
        let Some(beyond) = found.deeds.iter().find(|d| !found.holds(d.1)) else {
            return Ok(found);
        };
        Err(format!(
            "{name}: '{}' names a server or a backend that there is not",
            beyond.1
        ))
    }

    fn holds(&self, deed: Deed) -> bool {
        match deed {
            Deed::Kill(s) | Deed::Start(s) | Deed::Stop(s) | Deed::Continue(s) => s < self.servers,
            Deed::Slow(s, _) | Deed::Alone(s) | Deed::OneWay(s) | Deed::Load(s, _) => {
                s < self.servers
            }
            Deed::Backend(b, _) => b < self.backends,
            _ => true,
        }
    }

    fn line(&mut self, words: &[&str]) -> Result<(), String> {
        match words {
            [] => {}
            ["servers", ..] => self.servers = number(words.get(1))?,
            ["backends", ..] => self.backends = number(words.get(1))?,
            ["zones", ..] => self.zones = number::<usize>(words.get(1))?.max(1),
            ["seconds", ..] => self.seconds = number(words.get(1))?,
            ["rate", ..] => self.rate = number(words.get(1))?,
            ["whole", ..] => self.whole = number(words.get(1))?,
            ["plant", name] => {
                let known = PLANTS.iter().find(|p| p.0 == *name);
                self.plant = Some(known.ok_or(format!("no such fault {name}"))?.1);
            }
            ["parts", on @ ..] => {
                let known = ["members", "shared", "routes", "pools", "none"];
                if let Some(other) = on.iter().find(|p| !known.contains(p)) {
                    return Err(format!("no such part {other}"));
                }
                let has = |p: &str| on.contains(&p);
                self.parts = Parts {
                    members: has("members") || has("shared"),
                    shared: has("shared"),
                    routes: has("routes"),
                    pools: has("pools"),
                };
            }
            [at, deed @ ..] if at.starts_with('@') => {
                let at = number(Some(&&at[1..]))?;
                self.deeds.push((at, Self::deed(deed)?));
            }
            [word, ..] => return Err(format!("no such line {word}")),
        }
        Ok(())
    }

    fn deed(words: &[&str]) -> Result<Deed, String> {
        let who = || -> Result<usize, String> {
            let name = words.get(1).ok_or("a server is wanted")?;
            let n = name
                .strip_prefix('n')
                .and_then(|n| n.parse::<usize>().ok())
                .filter(|n| *n > 0);
            n.map(|n| n - 1).ok_or(format!("no such server {name}"))
        };
        Ok(match words.first().copied().unwrap_or_default() {
            "kill" => Deed::Kill(who()?),
            "start" => Deed::Start(who()?),
            "stop" => Deed::Stop(who()?),
            "continue" => Deed::Continue(who()?),
            "slow" => Deed::Slow(who()?, number(words.get(2))?),
            "halves" => Deed::Halves,
            "alone" => Deed::Alone(who()?),
            "oneway" => Deed::OneWay(who()?),
            "heal" => Deed::Heal,
            "calm" => Deed::Calm,
            "load" => Deed::Load(who()?, number(words.get(2))?),
            "net" => Deed::Net {
                loss: number(words.get(1))?,
                double: number(words.get(2))?,
                spoil: number(words.get(3))?,
                delay_ms: number(words.get(4))?,
            },
            "backend" => {
                let ill = match words.get(2).copied().unwrap_or_default() {
                    "well" => None,
                    "silent" => Some(Ill::Silent),
                    "fails" => Some(Ill::Fails),
                    "down" => Some(Ill::Down),
                    "slow" => Some(Ill::Slow(number(words.get(3))?)),
                    other => return Err(format!("a backend is not '{other}'")),
                };
                Deed::Backend(number(words.get(1))?, ill)
            }
            other => return Err(format!("no such deed '{other}'")),
        })
    }

    /// Draws so many faults from a seed, over all but the first four and the last sixteen seconds; then all is
    /// well again, so that what is to settle can.
    pub fn drawn(seed: u64, mut of: History, faults: usize) -> History {
        let mut chance = Rand64::new(u128::from(seed) * 2 + 1);
        let (n, backends) = (of.servers as f64, of.backends as f64);
        let mut up = vec![true; of.servers];
        let mut stopped = vec![false; of.servers];
        let (from, to) = (4_000.0, (of.seconds as f64 - 16.0).max(5.0) * 1e3);
        let mut times: Vec<u64> = (0..faults)
            .map(|_| (from + chance.rand_float() * (to - from)) as u64)
            .collect();
        times.sort_unstable();
        for at in times {
            let (s, b) = (
                (chance.rand_float() * n) as usize,
                (chance.rand_float() * backends) as usize,
            );
            let part = chance.rand_float() * 0.3;
            let deed = match (chance.rand_float() * 16.0) as usize {
                0 | 1 if !up[s] => {
                    up[s] = true;
                    Deed::Start(s)
                }
                0 | 1 if !stopped[s] => {
                    up[s] = false;
                    Deed::Kill(s)
                }
                2 | 3 if stopped[s] => {
                    stopped[s] = false;
                    Deed::Continue(s)
                }
                2 | 3 if up[s] => {
                    stopped[s] = true;
                    Deed::Stop(s)
                }
                4 => Deed::Slow(s, 1.0 + (chance.rand_float() * 6.0).round()),
                5 => Deed::Halves,
                6 => Deed::Alone(s),
                7 => Deed::OneWay(s),
                8 => Deed::Heal,
                9 => {
                    let cut = |x: f64| (x * 100.0).round() / 100.0;
                    let delay_ms = (chance.rand_float() * 1_500.0) as u64;
                    Deed::Net {
                        loss: cut(part),
                        double: cut(part),
                        spoil: cut(part * 0.3),
                        delay_ms,
                    }
                }
                10 => Deed::Calm,
                11 => Deed::Backend(b, Some(Ill::Silent)),
                12 => Deed::Backend(b, Some(Ill::Fails)),
                13 => Deed::Backend(
                    b,
                    Some(Ill::Slow(2.0 + (chance.rand_float() * 18.0).round())),
                ),
                14 => Deed::Backend(b, None),
                _ => Deed::Load(s, (chance.rand_float() * 30.0).round() / 10.0),
            };
            of.deeds.push((at, deed));
        }
        let end = to as u64;
        of.deeds.extend([(end, Deed::Heal), (end, Deed::Calm)]);
        of.deeds
            .extend((0..of.backends).map(|b| (end, Deed::Backend(b, None))));
        for s in 0..of.servers {
            of.deeds.extend((!up[s]).then_some((end, Deed::Start(s))));
            of.deeds
                .extend(stopped[s].then_some((end, Deed::Continue(s))));
            of.deeds
                .extend([(end, Deed::Slow(s, 1.0)), (end, Deed::Load(s, 1.0))]);
        }
        of
    }
}

#[cfg(test)]
mod tests;
