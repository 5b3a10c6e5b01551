//! Many backends below: `[routes]`, `[backend NAME]`.

use crate::file::{File, Names, Section};
use crate::membership::word;
use std::net::SocketAddr;

const ROUTES: [&str; 7] = [
    "enabled",
    "hedges",
    "near_least",
    "out_most",
    "repeats",
    "shares",
    "zone",
];
const BACKEND: [&str; 4] = ["address", "handlers", "weight", "zone"];
/// One of more weight would leave the others nothing.
const WEIGHTS: std::ops::RangeInclusive<f64> = 0.01..=100.0;
/// More than any group has.
const BACKENDS_MOST: usize = 5_000;

#[derive(Clone, Debug, PartialEq)]
pub struct Routes {
    /// This server's own zone: that of `[members]` where none is named here.
    pub zone: String,
    pub out_most: f64,
    pub near_least: f64,
    pub repeats: f64,
    pub hedges: bool,
    pub shares: bool,
    pub backends: Vec<Backend>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub weight: f64,
    pub handlers: Names,
}

fn backend(file: &mut File, s: &Section) -> Backend {
    file.named(s);
    if s.get("address").is_none() {
        file.wrong(s, "address", "has to be set");
    }
    let handlers = file.names(s, "handlers");
    if handlers.names.is_empty() {
        file.wrong(s, "handlers", "a backend has at least one handler");
    }
    let unset = SocketAddr::from(([127, 0, 0, 1], 1));
    let address = file.address(s, "address", unset);
    if address.ip().is_unspecified() || address.port() == 0 {
        file.wrong(
            s,
            "address",
            format!("'{address}' is nowhere that calls can go to"),
        );
    }
    Backend {
        name: s.name.clone(),
        address,
        zone: word(file, s, "zone", ""),
        weight: file.number(s, "weight", WEIGHTS, 1.0),
        handlers,
    }
}

pub(crate) fn read(file: &mut File, zone: Option<&str>) -> Option<Routes> {
    let head = file.take_one("routes", &ROUTES);
    let sections = file.take("backend", &BACKEND);
    let Some(head) = head else {
        for s in &sections {
            file.wrong(s, "", "goes with a section [routes]");
        }
        return None;
    };
    let enabled = file.switch(&head, "enabled", false);
    let mut backends: Vec<Backend> = vec![];
    for s in &sections {
        let fresh = backend(file, s);
        let sorted = |b: &Backend| {
            let mut names = b.handlers.names.clone();
            names.sort();
            names
        };
        let overlaps = |b: &&Backend| {
            sorted(b) != sorted(&fresh)
                && b.handlers
                    .names
                    .iter()
                    .any(|h| fresh.handlers.names.contains(h))
        };
        if let Some(other) = backends.iter().find(overlaps) {
            let what = format!(
                "shares some handlers with backend {}, and not all",
                other.name
            );
            file.wrong(s, "handlers", what);
        }
        if let Some(other) = backends.iter().find(|b| b.address == fresh.address) {
            file.wrong(s, "address", format!("is backend {}'s already", other.name));
        }
        backends.push(fresh);
    }
    if enabled && backends.is_empty() {
        file.wrong(&head, "enabled", "goes with sections [backend NAME]");
    }
    if backends.len() > BACKENDS_MOST {
        file.wrong(&head, "", format!("has more than {BACKENDS_MOST} backends"));
    }
    let routes = Routes {
        zone: word(file, &head, "zone", zone.unwrap_or("")),
        out_most: file.number(&head, "out_most", 0.0..=0.9, 0.3),
        near_least: file.number(&head, "near_least", 0.01..=1.0, 0.7),
        repeats: file.number(&head, "repeats", 0.0..=1.0, 0.1),
        hedges: file.switch(&head, "hedges", true),
        shares: file.switch(&head, "shares", true),
        backends,
    };
    enabled.then_some(routes)
}
