//! The client side of the control socket, used by the command line: sends one query and renders its answer as one
//! line of JSON or as text. It keeps no connection and no state between queries.

use super::control_protocol::{
    BackendRecord, CountRecord, END_LINE, ErrorLine, MAX_ANSWER_LINE_BYTES, MemberRecord,
    MembershipHead, Query, QuotaRecord, QuotasRecord,
};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration as StdDuration;

pub use super::control_protocol::Subject;

/// A server that sends nothing for this long is considered unresponsive.
const READ_TIMEOUT: StdDuration = StdDuration::from_secs(5);

/// The output format of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// One line that holds a JSON object.
    Json,
    /// Lines of text for people.
    Text,
}

/// Why a query failed. Each error names the socket's path.
#[derive(Debug, thiserror::Error)]
pub enum QueryError {
    /// The socket can't be connected to, or the connection failed or timed out.
    #[error("{}: {source}", path.display())]
    Io {
        /// The socket's path.
        path: PathBuf,
        /// The error that the system reported.
        source: std::io::Error,
    },
    /// The server rejected the query.
    #[error("{}: {reason}", path.display())]
    Rejected {
        /// The socket's path.
        path: PathBuf,
        /// The reason that the server gave.
        reason: String,
    },
    /// A line of the answer does not conform to the protocol.
    #[error("{}: malformed answer: {source}", path.display())]
    Malformed {
        /// The socket's path.
        path: PathBuf,
        /// The error of the JSON parser.
        source: serde_json::Error,
    },
}

/// Queries the server that listens on `path` and returns its rendered answer.
///
/// # Errors
/// Fails if the connection fails, if the answer is incomplete, late or malformed, or if the server rejects the query.
pub fn query(path: &Path, subject: Subject, format: Format) -> Result<String, QueryError> {
    let lines = exchange(path, subject).map_err(|source| QueryError::Io {
        path: path.into(),
        source,
    })?;
    if let Some(reason) = rejection(&lines) {
        let path = path.into();
        return Err(QueryError::Rejected { path, reason });
    }
    let rendered = match subject {
        Subject::Members => render_members(&lines, format),
        Subject::Quotas => render_quotas(&lines, format),
        Subject::Backends => render_backends(&lines, format),
    };
    rendered.map_err(|source| QueryError::Malformed {
        path: path.into(),
        source,
    })
}

/// Sends the query and returns the lines of the answer without the end line.
fn exchange(path: &Path, subject: Subject) -> std::io::Result<Vec<String>> {
    let word = subject.word().to_string();
    let mut stream = UnixStream::connect(path)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    stream.write_all(format!("{}\n", json!(Query { word })).as_bytes())?;
    let mut reader = BufReader::new(stream);
    let mut lines = vec![];
    loop {
        let mut line = String::new();
        let mut bounded = reader.by_ref().take(MAX_ANSWER_LINE_BYTES);
        bounded.read_line(&mut line)?;
        match line.trim_end() {
            "" => return Err(ErrorKind::UnexpectedEof.into()),
            END_LINE => return Ok(lines),
            line => lines.push(line.to_string()),
        }
    }
}

fn rejection(lines: &[String]) -> Option<String> {
    let line: ErrorLine = serde_json::from_str(lines.first()?).ok()?;
    Some(line.reason)
}

fn parse_all<T: DeserializeOwned>(lines: &[String]) -> serde_json::Result<Vec<T>> {
    lines.iter().map(|l| serde_json::from_str(l)).collect()
}

/// Formats an age in milliseconds as seconds, or returns `none` if there is no age.
fn age(ms: Option<u64>, none: &str) -> String {
    ms.map_or(none.into(), |ms| format!("{:.1} s ago", ms as f64 / 1e3))
}

fn render_members(lines: &[String], format: Format) -> serde_json::Result<String> {
    let head = &lines[0];
    let records = &lines[1..];
    if format == Format::Json {
        let mut answer: Value = serde_json::from_str(head)?;
        answer["members"] = Value::Array(parse_all(records)?);
        return Ok(answer.to_string());
    }
    let head: MembershipHead = serde_json::from_str(head)?;
    let mut text = format!(
        "{} hears {} since {:.1} s: {} others in, {} missing; view {}\n",
        head.name,
        head.coverage,
        head.since_ms as f64 / 1e3,
        head.active,
        head.missing,
        head.digest
    );
    for record in parse_all(records)? {
        text += &member_line(&record);
    }
    Ok(text.trim_end().into())
}

fn member_line(member: &MemberRecord) -> String {
    let received = age(member.last_received_ms, "-");
    let impaired = if member.health_score > 0 {
        ", held up"
    } else {
        ""
    };
    format!(
        "{:<20} {:<9} {:<10} {:<22} {received}{impaired}\n",
        member.name, member.state, member.zone, member.address
    )
}

fn render_backends(lines: &[String], format: Format) -> serde_json::Result<String> {
    let records = &lines[1..];
    if format == Format::Json {
        return Ok(json!({ "backends": parse_all::<Value>(records)? }).to_string());
    }
    let mut text = String::new();
    for record in parse_all(records)? {
        text += &backend_line(&record);
    }
    Ok(text.trim_end().into())
}

fn backend_line(backend: &BackendRecord) -> String {
    let latency = backend
        .typical_latency_ms
        .map_or("-".into(), |ms| format!("{ms:.0} ms"));
    format!(
        "{:<20} {:<8} weight {:.2} {:<10} {:<22} {latency:>7}, {} in hand, {} seen, {} bad; \
         heard {:.1} from {}\n",
        backend.name,
        backend.state,
        backend.weight,
        backend.zone,
        backend.address,
        backend.in_flight,
        backend.observed,
        backend.failures,
        backend.gossip_failures,
        backend.witnesses
    )
}

fn render_quotas(lines: &[String], format: Format) -> serde_json::Result<String> {
    let mut budgets: Vec<Value> = vec![];
    let mut counts: Vec<Value> = vec![];
    let mut text = String::new();
    for line in &lines[1..] {
        let value = serde_json::from_str(line)?;
        match serde_json::from_str(line)? {
            QuotasRecord::Quota(record) => {
                text += &quota_line(&record);
                budgets.push(value);
            }
            QuotasRecord::Count(record) => {
                text += &count_line(&record);
                counts.push(value);
            }
        }
    }
    Ok(match format {
        Format::Json => json!({ "budgets": budgets, "counts": counts }).to_string(),
        Format::Text if text.is_empty() => "nothing is shared".into(),
        Format::Text => text.trim_end().into(),
    })
}

fn quota_line(quota: &QuotaRecord) -> String {
    let until_usable = if quota.until_usable_ms > 0 {
        format!("; its own in {:.1} s", quota.until_usable_ms as f64 / 1e3)
    } else {
        String::new()
    };
    format!(
        "budget {}: {} of {} calls in hand ({} in all; {} own, {} lent, {} borrowed), work for {}; \
         heard {}{until_usable}\n",
        quota.name,
        quota.in_flight,
        quota.usable,
        quota.capacity,
        quota.base_quota,
        quota.granted,
        quota.leased,
        quota.demand,
        age(quota.since_contact_ms, "never")
    )
}

fn count_line(count: &CountRecord) -> String {
    let stale = if count.stale_servers > 0 {
        format!(", {} not heard", count.stale_servers)
    } else {
        String::new()
    };
    format!(
        "count {}: {} {:.0}, at most {:.0} off{stale}\n",
        count.name, count.key, count.estimate, count.max_error
    )
}
