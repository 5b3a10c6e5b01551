//! The door: what an arriving req says of itself, under small numbers, and the table of keyed reqs.

use crate::support::json::{Members, number, text, whole};
use crate::support::name::{Name, name, spelt};
use madderbay::interface::{Arrival, RetrySafety};
use madderbay::time::{Duration, Timestamp};
use madderbay_settings::Settings;
use siphasher::sip::SipHasher24;
use std::collections::{BTreeSet, HashMap};
use std::hash::Hasher;
use std::rc::Rc;

/// A req's own figures are refused past these: a start further ahead than clocks differ, or longer ago than
/// any pause; spans of so many client timeouts; memory that no req takes; a body over 2 KiB in base64.
const AHEAD_MOST: Duration = Duration::from_millis(1_000);
const AGO_MOST: Duration = Duration::from_millis(600_000);
const TIMEOUTS_MOST: f64 = 10.0;
const ROOM_KB: f64 = 2_000.0;
const BODY_MOST: usize = 2_732;

/// The 32 hex digits that name a keyed req.
pub type Key = u128;

/// What is known of the one run of a keyed req.
enum Run {
    NotYet,
    Going,
    Done(Box<str>),
    Errored,
}

struct Entry {
    holder: u64,
    print: u64,
    until: Timestamp,
    /// It is known for as long past its term as a try may wait unread: one that reached the machine within the
    /// term may be read as late as that, while this process waits for its core.
    late: Duration,
    run: Run,
    waiting: Vec<u64>,
}

/// What a try that joins another hears at once.
pub enum Joined {
    Waits,
    Done(Box<str>),
    Errored,
}

/// A req as it stands in its line: what decisions need, and its body as it came.
pub struct Read<'a> {
    pub arrival: Arrival,
    pub name: Name,
    pub key: Option<Key>,
    /// Hash of handler and body where there is a key, which all its tries share.
    pub print: u64,
    pub body: &'a str,
}

pub struct Door {
    handlers: HashMap<String, usize>,
    repeats: Vec<RetrySafety>,
    /// The longest that a req of each handler may say it waits or works.
    longest_ms: Vec<f64>,
    /// How long a caller waits altogether, by handler: what is read later than that is started no more.
    late: Vec<Duration>,
    tenants: HashMap<String, usize>,
    /// The handlers' names as JSON strings.
    quoted: Vec<Rc<str>>,
    says_wait: bool,
    ids: u64,
    table: HashMap<Key, Entry>,
    holders: HashMap<u64, Key>,
    lapses: BTreeSet<(Timestamp, Key)>,
    /// Bytes of results that are kept, and that may be.
    kept: usize,
    kept_most: usize,
}

fn numbered(names: &[String]) -> HashMap<String, usize> {
    names
        .iter()
        .cloned()
        .enumerate()
        .map(|(i, n)| (n, i))
        .collect()
}

/// Whether a raw value is a string of base64, no longer than a body: the engine takes nothing else.
fn base64(raw: &str) -> bool {
    let Some(text) = text(raw) else { return false };
    let digits = text.trim_end_matches('=');
    let digit = |b: u8| b.is_ascii_alphanumeric() || b == b'+' || b == b'/';
    text.len() <= BODY_MOST
        && text.len().is_multiple_of(4)
        && text.len() - digits.len() <= 2
        && digits.bytes().all(digit)
}

/// The hash of handler and body that a key's tries share: the same in every life.
fn print(handler: &str, body: &str) -> u64 {
    let mut hasher = SipHasher24::new();
    hasher.write(handler.as_bytes());
    hasher.write(body.as_bytes());
    hasher.finish()
}

impl Door {
    pub fn new(s: &Settings, kept_most: usize) -> Door {
        Door {
            handlers: numbered(&s.handler_names),
            repeats: s.handlers.iter().map(|h| h.retry_safety).collect(),
            longest_ms: s
                .handlers
                .iter()
                .map(|h| h.timeout.as_secs_f64() * 1e3 * TIMEOUTS_MOST)
                .collect(),
            late: s.handlers.iter().map(|h| h.timeout).collect(),
            tenants: numbered(&s.tenant_names),
            quoted: s
                .handler_names
                .iter()
                .map(|n| serde_json::Value::from(n.as_str()).to_string().into())
                .collect(),
            says_wait: s.rules.requests_carry_timeout,
            ids: 0,
            table: HashMap::new(),
            holders: HashMap::new(),
            lapses: BTreeSet::new(),
            kept: 0,
            kept_most,
        }
    }

    pub fn handler(&self, method: &str) -> Option<usize> {
        self.handlers.get(method).copied()
    }

    pub fn quoted(&self, handler: usize) -> Rc<str> {
        self.quoted[handler].clone()
    }

    /// Whether a keyed req is known from this life.
    pub fn knows(&self, key: Key) -> bool {
        self.table.contains_key(&key)
    }

    /// The print of a keyed req in the table and the end of its window.
    pub fn window(&self, key: Key) -> Option<(u64, Timestamp)> {
        self.table.get(&key).map(|e| (e.print, e.until))
    }

    pub fn entries(&self) -> usize {
        self.table.len()
    }

    /// Reads a req's own account of itself; says what is wrong with it. Whatever is out of range is refused
    /// here, before the module counts it.
    pub fn read<'a>(
        &mut self,
        now: Timestamp,
        handler: usize,
        params: &Members<'a>,
    ) -> Result<Read<'a>, &'static str> {
        let longest = self.longest_ms[handler];
        let own = params
            .text("ref")
            .as_deref()
            .and_then(name)
            .ok_or("ref is not 16 hex digits")?;
        let since = params
            .whole("since")
            .ok_or("since is not a time in milliseconds")?;
        let since = Timestamp::from_micros(since.saturating_mul(1000));
        if since > now + AHEAD_MOST || since + AGO_MOST < now {
            return Err("since is out of range");
        }
        let reached = since.min(now);
        let body = params
            .raw("bytes")
            .filter(|b| base64(b))
            .ok_or("bytes is not a body in base64")?;
        let held_kb = params
            .number("room")
            .filter(|kb| *kb > 0.0 && *kb < ROOM_KB);
        let held_kb = held_kb.ok_or("room is not a size in KB")?;
        let span = |name: &str, what| match params.raw(name) {
            Some(raw) => number(raw)
                .filter(|ms| *ms > 0.0 && *ms <= longest)
                .map(Some)
                .ok_or(what),
            None => Ok(None),
        };
        let allow = span("allow", "allow is not a time in milliseconds")?;
        let hint = span("effort", "effort is not a work in milliseconds")?;
        let wait = match allow {
            Some(ms) if self.says_wait => reached + Duration::from_secs_f64(ms / 1e3) - now,
            None if self.says_wait => return Err("allow is not a time in milliseconds"),
            _ => Duration::ZERO,
        };
        let tenant = if self.tenants.is_empty() {
            0
        } else {
            let known = params
                .text("project")
                .and_then(|p| self.tenants.get(&*p).copied());
            known.ok_or("project is not among the settings' tenants")?
        };
        let key = if self.repeats[handler] == RetrySafety::Keyed {
            let text = params
                .text("replay")
                .filter(|k| k.len() == 32 && k.bytes().all(|b| b.is_ascii_hexdigit()));
            Some(
                text.and_then(|k| Key::from_str_radix(&k, 16).ok())
                    .ok_or("replay is not 32 hex digits")?,
            )
        } else {
            None
        };
        let from = params
            .raw("sender")
            .map_or(Some(0), whole)
            .ok_or("sender is not a number")?;
        let rank = params
            .raw("class_rank")
            .map_or(Some(0.0), number)
            .filter(|r| (0.0..1.0).contains(r));
        let rank = rank.ok_or("class_rank is not from 0 to under 1")?;
        let subject = params.raw("lookup").map_or(Some(0), |raw| {
            u64::from_str_radix(spelt(&name(&text(raw)?)?), 16).ok()
        });
        let subject = subject.ok_or("lookup is not 16 hex digits")?;
        let print = key.map_or(0, |_| print(&self.quoted[handler], body));
        let entry = key.and_then(|k| self.table.get(&k));
        if entry.is_some_and(|e| e.print != print) {
            return Err("replay came with another body");
        }
        let repeats = entry.map_or(0, |e| e.holder);
        self.ids += 1;
        let arrival = Arrival {
            id: self.ids,
            // Numbers that are alike in 16 bits count as one caller.
            client: from as u16,
            handler,
            tenant,
            subject,
            timeout: wait,
            work_hint: hint.map(|ms| Duration::from_secs_f64(ms / 1e3)),
            memory_kb: held_kb,
            rank,
            is_retry: params.raw("dup").is_some_and(|d| d == "true" || d == "1"),
            read_delay: now - reached,
            retry_of: repeats,
        };
        Ok(Read {
            arrival,
            name: own,
            key,
            print,
            body,
        })
    }

    /// Enters a try, or renews its entry; a newer try takes the entry over.
    pub fn keep(&mut self, id: u64, key: Key, print: u64, handler: usize, until: Timestamp) {
        let late = self.late[handler];
        let fresh = Entry {
            holder: id,
            print,
            until,
            late,
            run: Run::NotYet,
            waiting: vec![],
        };
        let entry = self.table.entry(key).or_insert(fresh);
        self.lapses.remove(&(entry.until + entry.late, key));
        self.holders.remove(&entry.holder);
        (entry.holder, entry.until) = (id, until);
        self.holders.insert(id, key);
        self.lapses.insert((until + entry.late, key));
    }

    pub fn drop(&mut self, id: u64) {
        if let Some(key) = self.holders.get(&id).copied()
            && let Some(lapses) = self.remove(key)
        {
            self.lapses.remove(&(lapses, key));
        }
    }

    /// Takes an entry out; tells until when it would have been known.
    fn remove(&mut self, key: Key) -> Option<Timestamp> {
        let entry = self.table.remove(&key)?;
        self.holders.remove(&entry.holder);
        if let Run::Done(result) = &entry.run {
            self.kept -= result.len();
        }
        Some(entry.until + entry.late)
    }

    pub fn started(&mut self, key: Key) {
        if let Some(entry) = self.table.get_mut(&key) {
            entry.run = Run::Going;
        }
    }

    /// The one run is over, with its result if it went well; gives those that wait for it. A result past the
    /// memory for all is not kept: its later tries are errored, and none is run again.
    pub fn ran(&mut self, key: Key, result: Option<&str>) -> Vec<u64> {
        let Some(entry) = self.table.get_mut(&key) else {
            return vec![];
        };
        let kept = result.filter(|r| self.kept + r.len() <= self.kept_most);
        self.kept += kept.map_or(0, str::len);
        entry.run = kept.map_or(Run::Errored, |r| Run::Done(r.into()));
        std::mem::take(&mut entry.waiting)
    }

    /// A try takes the result of the run of its key, now or when that is over.
    pub fn join(&mut self, id: u64, key: Option<Key>) -> Joined {
        let Some(entry) = key.and_then(|k| self.table.get_mut(&k)) else {
            return Joined::Errored;
        };
        match &entry.run {
            Run::Done(result) => Joined::Done(result.clone()),
            Run::Errored => Joined::Errored,
            Run::NotYet | Run::Going => {
                entry.waiting.push(id);
                Joined::Waits
            }
        }
    }

    /// Takes entries off whose term is over, except while their run goes on.
    pub fn lapse(&mut self, now: Timestamp) {
        while let Some(&(at, key)) = self.lapses.first().filter(|l| l.0 <= now) {
            self.lapses.remove(&(at, key));
            let Some(entry) = self.table.get_mut(&key) else {
                continue;
            };
            if matches!(entry.run, Run::Going) {
                entry.until = now;
                self.lapses.insert((now + entry.late, key));
            } else {
                self.remove(key);
            }
        }
    }
}
