//! The server side of the control socket: answers queries about the state of this server without changing it.
//!
//! It owns the listening socket, the socket's file and a bounded number of connections. It borrows the fleet and the
//! backends only while it composes an answer, never across an await.

use super::backends::Backends;
use super::control_protocol::{
    BackendRecord, BackendsHead, CountRecord, END_LINE, ErrorLine, MAX_QUERY_BYTES, MemberRecord,
    MembershipHead, Query, QuotaRecord, QuotasHead, QuotasRecord, Subject,
};
use super::counter_names::{CounterKey, CounterNames};
use super::gossip::Fleet;
use madderbay::time::{Duration, Timestamp};
use madderbay_membership::MemberView;
use madderbay_quota::counter::ReplicatedCounter;
use madderbay_quota::{BudgetView, CounterId};
use madderbay_upstream::BackendStatus;
use serde::Serialize;
use std::io::ErrorKind;
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration as StdDuration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Time that a client has to send a query, and again to read the answer.
const CLIENT_TIMEOUT: StdDuration = StdDuration::from_secs(5);
/// Pause after a failed accept.
const ACCEPT_BACKOFF: StdDuration = StdDuration::from_secs(5);
/// Maximum number of connections served at a time; further ones wait in the listener's backlog.
const MAX_CLIENTS: usize = 4;
/// Maximum number of keys reported for a counter: those with the largest counts on this server.
const MAX_REPORTED_KEYS: usize = 50;

/// Why the control socket can't be opened.
#[derive(Debug, thiserror::Error)]
pub enum ControlSocketError {
    /// The file at the path is not a socket.
    #[error("control socket {}: the file exists and is no socket", path.display())]
    NotASocket {
        /// The socket's path.
        path: PathBuf,
    },
    /// Another process listens on the path.
    #[error("control socket {}: another process listens there", path.display())]
    InUse {
        /// The socket's path.
        path: PathBuf,
    },
    /// The socket's file can't be inspected, created or moved.
    #[error("control socket {}: {source}", path.display())]
    Io {
        /// The socket's path.
        path: PathBuf,
        /// The error that the system reported.
        source: std::io::Error,
    },
}

/// The state from which queries are answered. A part that the operator file does not enable is `None`.
#[derive(Clone, Default)]
pub struct Sources {
    /// The view of the fleet, with its quotas and counters.
    pub fleet: Option<Rc<Fleet>>,
    /// The backends.
    pub backends: Option<Rc<Backends>>,
}

/// The socket's file, removed on drop.
pub struct SocketFile(PathBuf);

impl SocketFile {
    /// Takes ownership of the file that [`listen`] created at `path`.
    pub fn new(path: PathBuf) -> SocketFile {
        SocketFile(path)
    }
}

impl Drop for SocketFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Listens on `path` with a socket that only the file's owner can use. The file of an earlier incarnation is replaced.
///
/// # Errors
/// Fails if another process listens on `path`, if the file there is not a socket, or if the system reports an error.
pub fn listen(path: &Path) -> Result<UnixListener, ControlSocketError> {
    check_replaceable(path)?;
    // The socket is created under another name and moved to `path` once its mode is set, so that it is never open to
    // other users at `path`.
    let temporary = path.with_extension(format!("{}", std::process::id()));
    let _ = std::fs::remove_file(&temporary);
    bind_private(&temporary, path).map_err(|source| {
        let _ = std::fs::remove_file(&temporary);
        io_error(path, source)
    })
}

fn check_replaceable(path: &Path) -> Result<(), ControlSocketError> {
    match std::fs::symlink_metadata(path) {
        Ok(file) if !file.file_type().is_socket() => {
            Err(ControlSocketError::NotASocket { path: path.into() })
        }
        Ok(_) if std::os::unix::net::UnixStream::connect(path).is_ok() => {
            Err(ControlSocketError::InUse { path: path.into() })
        }
        Ok(_) => Ok(()),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(()),
        Err(source) => Err(io_error(path, source)),
    }
}

fn bind_private(temporary: &Path, path: &Path) -> std::io::Result<UnixListener> {
    let listener = UnixListener::bind(temporary)?;
    std::fs::set_permissions(temporary, std::fs::Permissions::from_mode(0o600))?;
    std::fs::rename(temporary, path)?;
    Ok(listener)
}

fn io_error(path: &Path, source: std::io::Error) -> ControlSocketError {
    let path = path.into();
    ControlSocketError::Io { path, source }
}

/// Accepts connections until the process ends and serves each in a task of its own.
pub async fn run(listener: UnixListener, sources: Sources) {
    let clients = Arc::new(Semaphore::new(MAX_CLIENTS));
    loop {
        let Ok(permit) = clients.clone().acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let sources = sources.clone();
                spawn_local(async move {
                    if let Err(e) = serve(stream, &sources).await {
                        log::debug!("control-socket: client failed, error={e}");
                    }
                    drop(permit);
                });
            }
            Err(e) => {
                log::warn!("control-socket: accept failed, error={e}");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Answers the queries of one client until it closes the connection, times out or sends a line that is too long.
async fn serve(stream: UnixStream, sources: &Sources) -> std::io::Result<()> {
    let (reader, mut writer) = stream.into_split();
    let mut reader = BufReader::new(reader);
    loop {
        let mut line = vec![];
        let mut bounded = (&mut reader).take(MAX_QUERY_BYTES);
        let read = timeout(CLIENT_TIMEOUT, bounded.read_until(b'\n', &mut line)).await;
        let length = read.unwrap_or(Err(ErrorKind::TimedOut.into()))?;
        if length == 0 {
            return Ok(());
        }
        let is_complete = line.ends_with(b"\n");
        let text = if is_complete {
            answer(&line, sources)
        } else {
            error_answer("a question is a line of 255 bytes at most")
        };
        let written = timeout(CLIENT_TIMEOUT, writer.write_all(text.as_bytes())).await;
        written.unwrap_or(Err(ErrorKind::TimedOut.into()))?;
        if !is_complete {
            return Ok(());
        }
    }
}

/// Returns all lines of the answer to one query.
fn answer(line: &[u8], sources: &Sources) -> String {
    let Ok(query) = serde_json::from_slice::<Query>(line) else {
        return error_answer("a question is a line as {\"ask\":\"members\"}");
    };
    let Some(subject) = Subject::from_word(&query.word) else {
        return error_answer("members, shared and routes can be asked for");
    };
    let fleet = sources.fleet.as_deref();
    let backends = sources.backends.as_deref();
    let (found, section) = match subject {
        Subject::Members => (fleet.map(members_answer), "[members]"),
        Subject::Quotas => (fleet.and_then(quotas_answer), "[shared]"),
        Subject::Backends => (backends.map(backends_answer), "[routes]"),
    };
    found.unwrap_or_else(|| error_answer(&format!("no {section} in the operator file")))
}

/// Returns an answer without records whose head says why the query is rejected.
fn error_answer(reason: &str) -> String {
    let reason = reason.to_string();
    format_answer(&ErrorLine { reason }, std::iter::empty::<ErrorLine>())
}

/// Returns an answer that consists of a head, records and the end line.
fn format_answer(
    head: &impl Serialize,
    records: impl IntoIterator<Item = impl Serialize>,
) -> String {
    let mut text = String::new();
    push_line(&mut text, head);
    for record in records {
        push_line(&mut text, &record);
    }
    text + END_LINE + "\n"
}

/// Appends one line of JSON.
fn push_line(text: &mut String, record: &impl Serialize) {
    *text += &serde_json::to_string(record).unwrap_or_default();
    text.push('\n');
}

/// Returns the answer about the members of the fleet.
fn members_answer(fleet: &Fleet) -> String {
    let view = fleet.stack().borrow().membership().view();
    let connectivity = &view.connectivity;
    let head = MembershipHead {
        name: view.name.to_string(),
        coverage: connectivity.level.to_string(),
        since_ms: view.since_ms,
        active: connectivity.evidence.active,
        missing: connectivity.evidence.missing,
        last_received_ms: view.last_received_ms,
        digest: format!("{:016x}", view.digest),
    };
    format_answer(&head, view.members.iter().map(member_record))
}

fn member_record(member: &MemberView) -> MemberRecord {
    MemberRecord {
        name: member.name.to_string(),
        state: member.state.to_string(),
        zone: member.zone.to_string(),
        address: member.address.to_string(),
        incarnation: member.incarnation,
        revision: member.revision,
        last_received_ms: member.last_received_ms,
        health_score: member.health_score,
    }
}

/// Returns the answer about the backends, with the figures of outlier detection.
fn backends_answer(backends: &Backends) -> String {
    let manager = backends.manager().borrow();
    let statuses = manager.backend_statuses(backends.now());
    format_answer(
        &BackendsHead { backends: true },
        statuses.into_iter().map(backend_record),
    )
}

fn backend_record(status: BackendStatus) -> BackendRecord {
    let to_hundredths = |n: f64| (n * 100.0).round() / 100.0;
    let latency = status.typical_latency;
    BackendRecord {
        name: status.name.to_string(),
        state: status.state.to_string(),
        weight: to_hundredths(status.weight),
        observed: status.observed.round() as u64,
        failures: status.failures.round() as u64,
        witnesses: status.witnesses,
        gossip_failures: to_hundredths(status.gossip_failures),
        zone: status.zone.to_string(),
        address: status.address.to_string(),
        in_flight: status.in_flight,
        typical_latency_ms: latency.map(|l| to_hundredths(l.as_secs_f64() * 1e3)),
    }
}

/// Returns the answer about quotas and counters, or `None` if the fleet shares none.
fn quotas_answer(fleet: &Fleet) -> Option<String> {
    let now = fleet.now();
    let stack = fleet.stack().borrow();
    let quotas = stack.quotas()?;
    let head = QuotasHead {
        name: stack.membership().local_identity().name.to_string(),
    };
    let budgets = quotas.budget_views(now).into_iter().map(quota_record);
    let names = fleet.quota_source().counter_names();
    let counters = quotas.counters();
    let counts = CounterId::first(counters.len())
        .zip(counters)
        .flat_map(|(id, counter)| count_records(now, id, counter, names));
    Some(format_answer(&head, budgets.chain(counts)))
}

fn quota_record(budget: BudgetView) -> QuotasRecord {
    let in_ms = |duration: Duration| duration.as_millis();
    QuotasRecord::Quota(QuotaRecord {
        name: budget.name.to_string(),
        capacity: budget.capacity,
        base_quota: budget.base_quota,
        granted: budget.granted,
        leased: budget.leased,
        usable: budget.usable,
        in_flight: budget.in_use,
        demand: budget.demand,
        since_contact_ms: budget.since_contact.map(in_ms),
        until_usable_ms: in_ms(budget.until_usable),
    })
}

/// Returns the records of the keys of one counter that have the largest counts on this server.
fn count_records(
    now: Timestamp,
    id: CounterId,
    counter: &ReplicatedCounter,
    names: &CounterNames,
) -> Vec<QuotasRecord> {
    let heaviest = counter.heaviest_keys(MAX_REPORTED_KEYS);
    let keys = names.keys(id).filter(|k| heaviest.contains(&k.hash));
    let record = |key: CounterKey<'_>| {
        let estimate = counter.estimate(now, key.hash, key.fair_rate);
        QuotasRecord::Count(CountRecord {
            name: counter.settings().name.to_string(),
            key: key.name.to_string(),
            estimate: estimate.value,
            max_error: estimate.bound(),
            stale_servers: estimate.stale_servers,
        })
    };
    keys.map(record).collect()
}
