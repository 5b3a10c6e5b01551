//! What the servers of a fleet share: `[shared]`, `[budget NAME]`, `[count NAME]`.

use crate::file::{File, Names};

const SHARED: [&str; 3] = ["enabled", "seat", "weight"];
const BUDGET: [&str; 5] = ["calls", "handlers", "lease_ms", "longest_ms", "servers"];
const COUNT: [&str; 3] = ["by", "most", "window_s"];
/// More than any fleet has, or may have in hand below.
const SERVERS_MOST: u32 = 10_000;
const CALLS_MOST: u32 = 1_000_000;
/// A server of more weight would leave the others nothing.
const WEIGHTS: std::ops::RangeInclusive<f64> = 0.01..=100.0;

#[derive(Clone, Debug, PartialEq)]
pub struct Shared {
    /// The server's place among those there may be, where it has one of its own.
    pub seat: Option<u32>,
    pub weight: f64,
    pub budgets: Vec<Budget>,
    pub counts: Vec<Count>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    pub name: String,
    pub handlers: Names,
    /// Calls in hand of the whole fleet, and the most servers there may be.
    pub calls: u32,
    pub servers: u32,
    pub lease_ms: u64,
    pub longest_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum By {
    Tenant,
    Handler,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Count {
    pub name: String,
    pub by: By,
    pub window_s: u64,
    /// Reqs of one key that a server reads a second at the most.
    pub most: f64,
}

pub(crate) fn read(file: &mut File, members: bool) -> Option<Shared> {
    let head = file.take_one("shared", &SHARED);
    let (budgets, counts) = (file.take("budget", &BUDGET), file.take("count", &COUNT));
    let Some(head) = head else {
        for s in budgets.iter().chain(&counts) {
            file.wrong(s, "", "goes with a section [shared]");
        }
        return None;
    };
    let enabled = file.switch(&head, "enabled", false);
    if enabled && !members {
        file.wrong(
            &head,
            "enabled",
            "goes with [members], by which servers hear each other",
        );
    }
    let seat = head
        .get("seat")
        .is_some()
        .then(|| file.number(&head, "seat", 1..=SERVERS_MOST, 1));
    let weight = file.number(&head, "weight", WEIGHTS, 1.0);
    let mut found: Vec<Budget> = vec![];
    for s in &budgets {
        file.named(s);
        for key in ["calls", "servers"] {
            if s.get(key).is_none() {
                file.wrong(s, key, "has to be set");
            }
        }
        let handlers = file.names(s, "handlers");
        if handlers.names.is_empty() {
            file.wrong(s, "handlers", "a budget has at least one handler");
        }
        let twice = handlers.names.iter().find_map(|h| {
            let other = found.iter().find(|b| b.handlers.names.contains(h))?;
            Some(format!("'{h}' is in budget {} already", other.name))
        });
        if let Some(what) = twice {
            file.wrong(s, "handlers", what);
        }
        let budget = Budget {
            name: s.name.clone(),
            handlers,
            calls: file.number(s, "calls", 1..=CALLS_MOST, 1),
            servers: file.number(s, "servers", 1..=SERVERS_MOST, 1),
            lease_ms: file.number(s, "lease_ms", 200..=60_000, 1_000),
            longest_ms: file.number(s, "longest_ms", 50..=600_000, 2_000),
        };
        if budget.calls < budget.servers && seat.is_none() {
            let what = format!(
                "{} calls give none of {} servers any of its own: set each server's seat in [shared]",
                budget.calls, budget.servers
            );
            file.wrong(s, "calls", what);
        }
        found.push(budget);
    }
    let counts = counts.iter().map(|s| {
        file.named(s);
        let by = [("tenant", By::Tenant), ("handler", By::Handler)];
        if s.get("by").is_none() {
            file.wrong(s, "by", "has to be tenant or handler");
        }
        Count {
            name: s.name.clone(),
            by: file.word(s, "by", &by, By::Tenant),
            window_s: file.number(s, "window_s", 1..=3_600, 10),
            most: file.number(s, "most", 1.0..=1_000_000.0, 1_000.0),
        }
    });
    let counts: Vec<Count> = counts.collect();
    if counts.iter().filter(|c| c.by == By::Tenant).count() > 1 {
        file.wrong(
            &head,
            "",
            "one count by tenant is enough: it is what allowances go by",
        );
    }
    enabled.then_some(Shared {
        seat,
        weight,
        budgets: found,
        counts,
    })
}
