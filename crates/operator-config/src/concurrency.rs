//! Pools of handlers and the reserve: `[pools]`, `[pool NAME]`, `[reserve]`.

use crate::file::{File, Names};

const POOLS: [&str; 2] = ["enabled", "limits"];
const POOL: [&str; 5] = ["calls", "calls_weight", "handlers", "runs", "weight"];
const RESERVE: [&str; 2] = ["handlers", "part"];
/// More than any server has.
const PLACES_MOST: usize = 100_000;
const WEIGHT_MOST: f64 = 1_000_000.0;
/// A reserve of more would be the rule and not the exception.
const PART_MOST: f64 = 0.5;
/// A tenth of the places: one of the first ten.
const PART: f64 = 0.1;

#[derive(Clone, Debug, PartialEq)]
pub struct Pools {
    /// Whether the limit on calls follows what lies below, or stays at this server's share.
    pub adapts: bool,
    pub pools: Vec<Pool>,
    pub reserve: Option<Reserve>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    pub name: String,
    pub handlers: Names,
    pub weight: f64,
    /// Its weight among those that want calls.
    pub calls_weight: f64,
    pub runs: Option<usize>,
    pub calls: Option<usize>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Reserve {
    pub handlers: Names,
    pub part: f64,
}

pub(crate) fn read(file: &mut File) -> Option<Pools> {
    let head = file.take_one("pools", &POOLS);
    let sections = file.take("pool", &POOL);
    let reserve = file.take_one("reserve", &RESERVE);
    let (enabled, adapts) = match &head {
        Some(s) => {
            let limits = [("adaptive", true), ("fixed", false)];
            (
                file.switch(s, "enabled", false),
                file.word(s, "limits", &limits, true),
            )
        }
        None => (false, true),
    };
    if head.is_none() {
        for s in sections.iter().chain(&reserve) {
            file.wrong(s, "", "goes with a section [pools]");
        }
    }
    let mut pools: Vec<Pool> = vec![];
    for s in &sections {
        let handlers = file.names(s, "handlers");
        if s.name.is_empty() {
            file.wrong(s, "", "a pool has a name: [pool NAME]");
        } else if s.name == "rest" {
            file.wrong(s, "", "'rest' is the pool of what is in no other");
        }
        if handlers.names.is_empty() {
            file.wrong(s, "handlers", "a pool has at least one handler");
        }
        let twice = handlers.names.iter().find_map(|h| {
            let other = pools
                .iter()
                .find(|p: &&Pool| p.handlers.names.contains(h))?;
            Some(format!("'{h}' is in pool {} already", other.name))
        });
        if let Some(what) = twice {
            file.wrong(s, "handlers", what);
        }
        let places = |file: &mut File, key| {
            s.get(key)
                .is_some()
                .then(|| file.number(s, key, 1..=PLACES_MOST, PLACES_MOST))
        };
        let (runs, calls) = (places(file, "runs"), places(file, "calls"));
        let weight = file.number(s, "weight", 0.0..=WEIGHT_MOST, 1.0);
        let calls_weight = file.number(s, "calls_weight", 0.0..=WEIGHT_MOST, weight);
        pools.push(Pool {
            name: s.name.clone(),
            handlers,
            weight,
            calls_weight,
            runs,
            calls,
        });
    }
    let reserve = reserve.map(|s| Reserve {
        handlers: file.names(&s, "handlers"),
        part: file.number(&s, "part", 0.0..=PART_MOST, PART),
    });
    enabled.then_some(Pools {
        adapts,
        pools,
        reserve,
    })
}
