//! The control socket: questions to a running server, read-only. A question is a line of JSON, `{"ask":WORD}`;
//! its answer is lines of JSON of bounded length, the last of them `{"end":true}`.

use super::backends::Backends;
use super::talk::Fleet;
use serde::{Deserialize, Serialize};
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

/// Who asks has this long for a question, and as long to read its answer.
const PATIENCE: StdDuration = StdDuration::from_secs(5);
/// Longest question, bytes; longest line of an answer, of which all names are far shorter.
const QUESTION: u64 = 256;
pub const LINE: usize = 4 << 10;
/// Those who ask at a time; others wait to be taken.
const ASKERS: usize = 4;

#[derive(Deserialize)]
struct Question {
    ask: String,
}

/// One server in an answer.
#[derive(Debug, Serialize, Deserialize)]
pub struct MemberLine {
    pub name: String,
    pub state: String,
    pub zone: String,
    pub address: String,
    pub life: u64,
    pub turn: u32,
    pub heard_ms: Option<u64>,
    pub held_up: u8,
}

/// The first line of an answer about members.
#[derive(Debug, Serialize, Deserialize)]
pub struct MembersHead {
    pub name: String,
    pub hears: String,
    pub since_ms: u64,
    pub active: usize,
    pub missing: usize,
    pub last_ms: Option<u64>,
    pub digest: String,
}

/// A budget, or what was counted of one key, in an answer about what is shared.
#[derive(Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum SharedLine {
    Budget {
        name: String,
        whole: u32,
        own: u32,
        lent: u32,
        borrowed: u32,
        usable: u32,
        in_use: u32,
        wants: u32,
        heard_ms: Option<u64>,
        waits_ms: u64,
    },
    Count {
        name: String,
        of: String,
        value: f64,
        bound: f64,
        unheard: usize,
    },
}

/// A backend in an answer about routes.
#[derive(Debug, Serialize, Deserialize)]
pub struct RouteLine {
    pub name: String,
    pub state: String,
    pub weight: f64,
    pub seen: u64,
    pub bad: u64,
    pub heard_from: usize,
    pub heard: f64,
    pub zone: String,
    pub address: String,
    pub in_hand: usize,
    pub pace_ms: Option<f64>,
}

/// What can be asked about.
#[derive(Clone, Default)]
pub struct Told {
    pub fleet: Option<Rc<Fleet>>,
    pub backends: Option<Rc<Backends>>,
}

/// Keys of one count that are told, those that came here most.
const KEYS_TOLD: usize = 50;

pub const END: &str = "{\"end\":true}";

/// A listener at that path. A file that a killed server left is replaced, one that is listened at is not, nor
/// is anything that is no socket.
pub fn listen(path: &Path) -> Result<UnixListener, String> {
    let told = |what: &dyn std::fmt::Display| format!("control socket {}: {what}", path.display());
    match std::fs::symlink_metadata(path) {
        Ok(file) if !file.file_type().is_socket() => {
            return Err(told(&"is there, and is no socket"));
        }
        Ok(_) if std::os::unix::net::UnixStream::connect(path).is_ok() => {
            return Err(told(&"another process listens there"));
        }
        Ok(_) => {}
        Err(e) if e.kind() == ErrorKind::NotFound => {}
        Err(e) => return Err(told(&e)),
    }
    // Made beside it and moved there, so that it never stands open to others.
    let fresh = path.with_extension(format!("{}", std::process::id()));
    let _ = std::fs::remove_file(&fresh);
    let make = || -> std::io::Result<UnixListener> {
        let listener = UnixListener::bind(&fresh)?;
        std::fs::set_permissions(&fresh, std::fs::Permissions::from_mode(0o600))?;
        std::fs::rename(&fresh, path)?;
        Ok(listener)
    };
    make().map_err(|e| {
        let _ = std::fs::remove_file(&fresh);
        told(&e)
    })
}

/// Removes its file at the end.
pub struct Ends(pub PathBuf);

impl Drop for Ends {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Answers questions until the process ends.
pub async fn run(listener: UnixListener, told: Told) {
    let askers = Arc::new(Semaphore::new(ASKERS));
    loop {
        let Ok(place) = askers.clone().acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let told = told.clone();
                spawn_local(async move {
                    if let Err(e) = serve(stream, &told).await {
                        log::debug!("control socket: {e}");
                    }
                    drop(place);
                });
            }
            Err(e) => {
                log::warn!("control socket: {e}");
                tokio::time::sleep(PATIENCE).await;
            }
        }
    }
}

async fn serve(stream: UnixStream, told: &Told) -> std::io::Result<()> {
    let (reader, mut writer) = stream.into_split();
    let mut reader = BufReader::new(reader);
    loop {
        let mut line = vec![];
        let mut bounded = (&mut reader).take(QUESTION);
        let read = timeout(PATIENCE, bounded.read_until(b'\n', &mut line)).await;
        let length = read.unwrap_or(Err(ErrorKind::TimedOut.into()))?;
        if length == 0 {
            return Ok(());
        }
        let whole = line.ends_with(b"\n");
        let text = if whole {
            answer(&line, told)
        } else {
            wrong("a question is a line of 255 bytes at most")
        };
        let written = timeout(PATIENCE, writer.write_all(text.as_bytes())).await;
        written.unwrap_or(Err(ErrorKind::TimedOut.into()))?;
        if !whole {
            return Ok(());
        }
    }
}

fn wrong(what: &str) -> String {
    format!("{}\n{END}\n", serde_json::json!({ "wrong": what }))
}

/// The lines of the answer to one question.
fn answer(line: &[u8], told: &Told) -> String {
    let Ok(question) = serde_json::from_slice::<Question>(line) else {
        return wrong("a question is a line as {\"ask\":\"members\"}");
    };
    match (question.ask.as_str(), told.fleet.as_deref()) {
        ("routes", _) => {
            let routes = told.backends.as_deref().map(routes);
            routes.unwrap_or_else(|| wrong("no [routes] in the operator file"))
        }
        ("members", Some(fleet)) => members(fleet),
        ("members", None) => wrong("no [members] in the operator file"),
        ("shared", Some(fleet)) => {
            shared(fleet).unwrap_or_else(|| wrong("no [shared] in the operator file"))
        }
        ("shared", None) => wrong("no [shared] in the operator file"),
        _ => wrong("members, shared and routes can be asked for"),
    }
}

fn members(fleet: &Fleet) -> String {
    let view = fleet.together.borrow().members.view();
    let head = MembersHead {
        name: view.name.to_string(),
        hears: view.connectivity.level.to_string(),
        since_ms: view.since_ms,
        active: view.connectivity.evidence.active,
        missing: view.connectivity.evidence.missing,
        last_ms: view.last_received_ms,
        digest: format!("{:016x}", view.digest),
    };
    let mut text = serde_json::to_string(&head).unwrap_or_default() + "\n";
    for m in view.members {
        let line = MemberLine {
            name: m.name.to_string(),
            state: m.state.to_string(),
            zone: m.zone.to_string(),
            address: m.address.to_string(),
            life: m.incarnation,
            turn: m.revision,
            heard_ms: m.last_received_ms,
            held_up: m.health_score,
        };
        text += &serde_json::to_string(&line).unwrap_or_default();
        text.push('\n');
    }
    text + END + "\n"
}

fn routes(backends: &Backends) -> String {
    let mut text = format!("{}\n", serde_json::json!({ "backends": true }));
    let hundredths = |n: f64| (n * 100.0).round() / 100.0;
    for b in backends.routes.borrow().backend_statuses(backends.now()) {
        let line = RouteLine {
            name: b.name.to_string(),
            state: b.state.to_string(),
            weight: hundredths(b.weight),
            seen: b.observed.round() as u64,
            bad: b.failures.round() as u64,
            heard_from: b.witnesses,
            heard: hundredths(b.gossip_failures),
            zone: b.zone.to_string(),
            address: b.address.to_string(),
            in_hand: b.in_flight,
            pace_ms: b.typical_latency.map(|p| hundredths(p.as_secs_f64() * 1e3)),
        };
        text += &serde_json::to_string(&line).unwrap_or_default();
        text.push('\n');
    }
    text + END + "\n"
}

fn shared(fleet: &Fleet) -> Option<String> {
    let (now, together) = (fleet.now(), fleet.together.borrow());
    let shared = together.shared.as_ref()?;
    let ms = |s: madderbay::time::Duration| s.as_micros() / 1_000;
    let mut lines = vec![];
    for b in shared.budget_views(now) {
        lines.push(SharedLine::Budget {
            name: b.name.to_string(),
            whole: b.capacity,
            own: b.base_quota,
            lent: b.granted,
            borrowed: b.leased,
            usable: b.usable,
            in_use: b.in_use,
            wants: b.demand,
            heard_ms: b.since_contact.map(ms),
            waits_ms: ms(b.until_usable),
        });
    }
    for (at, count) in shared.counters.iter().enumerate() {
        let active = count.heaviest_keys(KEYS_TOLD);
        for (_, of, mark, fair) in fleet
            .lender
            .counted
            .keys(at)
            .filter(|k| active.contains(&k.2))
        {
            let told = count.estimate(now, mark, fair);
            let (name, of) = (count.settings.name.to_string(), of.to_string());
            let (value, bound) = (told.value, told.bound());
            lines.push(SharedLine::Count {
                name,
                of,
                value,
                bound,
                unheard: told.stale_servers,
            });
        }
    }
    let name = together.members.local_identity().name.to_string();
    let mut text = format!("{}\n", serde_json::json!({ "name": name }));
    for line in &lines {
        text += &serde_json::to_string(line).unwrap_or_default();
        text.push('\n');
    }
    Some(text + END + "\n")
}
