//! Queries to the servers' control sockets, and the reports that they return.

use super::{Node, ProcessFleet, name};
use crate::fleet::script::state_by_name;
use madderbay_membership::{Connectivity, MemberState};
use serde_json::Value;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::time::Duration as StdDuration;

/// Timeout of each read of a query's answer. It is needed because a stopped server never answers.
const QUERY_TIMEOUT: StdDuration = StdDuration::from_secs(5);

/// A server's view of the fleet's membership.
#[derive(Clone, Debug)]
pub struct MembershipReport {
    /// How much of the fleet the server receives from; `None` if the reported word is unknown.
    pub connectivity: Option<Connectivity>,
    /// Digest of the view.
    pub digest: String,
    /// Number of other members that are not down.
    pub active: usize,
    /// State of each member, by name.
    pub states: HashMap<String, MemberState>,
}

/// A server's share of the quota, in calls.
#[derive(Clone, Copy, Debug)]
pub struct QuotaReport {
    /// Calls that the server may have in flight now.
    pub usable: u32,
    /// Calls that the server has in flight.
    pub in_use: u32,
    /// The server's base quota.
    pub base_quota: u32,
    /// Calls that the server has demand for.
    pub demand: u32,
}

/// A server's report of one of its backends.
#[derive(Clone, Debug)]
pub struct BackendReport {
    /// State of the backend: `in`, `ejected`, `trial` or `rising`.
    pub state: String,
    /// Weight of the backend in the selection.
    pub weight: f64,
    /// Number of recent failed calls to the backend.
    pub failures: u64,
}

impl ProcessFleet {
    /// Queries a server's view of the fleet. Returns `None` if the server does not answer or
    /// reports an unknown member state.
    pub fn membership(&self, server: usize) -> Option<MembershipReport> {
        let lines = self.query(server, "members")?;
        let (head, members) = lines.split_first()?;
        let text = |value: &Value| value.as_str().unwrap_or_default().to_string();
        Some(MembershipReport {
            connectivity: connectivity(&head["hears"]),
            digest: text(&head["digest"]),
            active: head["active"].as_u64()? as usize,
            states: members
                .iter()
                .map(|member| {
                    let state = state_by_name(member["state"].as_str()?)?;
                    Some((text(&member["name"]), state))
                })
                .collect::<Option<_>>()?,
        })
    }

    /// Queries a server's share of the quota. Returns `None` if the server does not answer or has
    /// no quota.
    pub fn quota(&self, server: usize) -> Option<QuotaReport> {
        let lines = self.query(server, "shared")?;
        let quota = lines.iter().find(|line| line["whole"].is_u64())?;
        let units = |key: &str| quota[key].as_u64().map(|units| units as u32);
        Some(QuotaReport {
            usable: units("usable")?,
            in_use: units("in_use")?,
            base_quota: units("own")?,
            demand: units("wants")?,
        })
    }

    /// Queries a server's replicated count for the key with the name `of`. Returns the count and
    /// the bound on its error, or `None` if the server does not answer or does not count the key.
    pub fn counter(&self, server: usize, of: &str) -> Option<(f64, f64)> {
        let lines = self.query(server, "shared")?;
        let line = lines.iter().find(|line| line["of"] == of)?;
        Some((line["value"].as_f64()?, line["bound"].as_f64()?))
    }

    /// Queries a server's backends, by name. Returns `None` if the server does not answer or a line
    /// of the answer lacks a field.
    pub fn backends(&self, server: usize) -> Option<HashMap<String, BackendReport>> {
        let lines = self.query(server, "routes")?;
        let backend = |line: &Value| {
            let name = line["name"].as_str()?.to_string();
            let report = BackendReport {
                state: line["state"].as_str()?.to_string(),
                weight: line["weight"].as_f64()?,
                failures: line["bad"].as_u64()?,
            };
            Some((name, report))
        };
        // The first line is a summary of all backends.
        lines.iter().skip(1).map(backend).collect()
    }

    /// Describes in one line the quota that each answering server reports.
    pub(super) fn all_quotas(&self) -> String {
        let reports = (0..self.nodes.len()).filter_map(|server| {
            let QuotaReport {
                usable,
                in_use,
                demand,
                ..
            } = self.quota(server)?;
            let name = name(server);
            Some(format!(
                "{name} has {in_use} of {usable} calls in flight, demand {demand}"
            ))
        });
        reports.collect::<Vec<String>>().join("; ")
    }

    fn query(&self, server: usize, what: &str) -> Option<Vec<Value>> {
        self.nodes[server].query(what)
    }
}

/// Parses the connectivity as the control socket reports it.
fn connectivity(word: &Value) -> Option<Connectivity> {
    let all = [
        Connectivity::Complete,
        Connectivity::Partial,
        Connectivity::Isolated,
    ];
    all.into_iter()
        .find(|connectivity| word.as_str() == Some(connectivity.to_string().as_str()))
}

impl Node {
    /// Sends a query to the control socket and returns the lines of the answer. Returns `None` if
    /// the answer is missing or incomplete.
    fn query(&self, what: &str) -> Option<Vec<Value>> {
        if !self.is_responsive() {
            return None;
        }
        let mut stream = UnixStream::connect(&self.control_socket).ok()?;
        stream.set_read_timeout(Some(QUERY_TIMEOUT)).ok()?;
        let query = format!("{{\"ask\":\"{what}\"}}\n");
        stream.write_all(query.as_bytes()).ok()?;
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
}
