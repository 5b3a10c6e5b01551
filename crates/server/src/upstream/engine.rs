//! The engine's link: commands as lines out, notices as lines in, both in order.

use crate::support::clock::Clock;
use crate::support::io::{Lines, Outbox, connect, drive_link};
use crate::support::json::{Members, whole};
use crate::support::name::{Name, spelt};
use madderbay::interface::Outcome;
use madderbay::time::{Duration, Timestamp};
use std::cell::RefCell;
use std::future::pending;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration as StdDuration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

/// Longer than any legal notice: a result of 4 KiB in base64, each byte escaped.
const LINE_MOST: usize = 64 << 10;
/// Wait before a lost link is taken up again: ends of runs, and answers with them, wait as long. Longer where
/// nobody listens, after the time that a connection may take.
const AGAIN: StdDuration = StdDuration::from_millis(2);
const CONNECT: StdDuration = StdDuration::from_millis(1_000);
const UNREACHED: StdDuration = StdDuration::from_millis(100);

/// Rings of the timer without an answer to a question for the gauges, after which the link has gone silent
/// and is made anew: two seconds. Counted, not timed, since a pause of this process is no silence.
const SILENT: u32 = 200;

/// Who hears what the engine says.
pub trait EngineObserver {
    fn link(&mut self) -> &mut EngineLink;
    /// The engine is up since `age`; `how` is `new` where it came up with this server.
    fn hello(&mut self, now: Timestamp, how: &str, age: Duration);
    /// The gauges; `gap` where notices before them were lost for good.
    fn gauges(&mut self, now: Timestamp, values: &[f64], gap: bool);
    fn at_call(&mut self, now: Timestamp, name: &Name, serial: u64, blob: &str);
    fn run_over(&mut self, now: Timestamp, name: &Name, how: Outcome, spent: Duration, blob: &str);
    /// The command by the name `what` was not carried out.
    fn declined(&mut self, now: Timestamp, what: &str, name: &Name);
    /// A notice could not be read.
    fn unread(&mut self);
    /// The link is lost.
    fn unlinked(&mut self);
}

/// One command as a line. What it is about comes as it stands on the wire.
pub fn command(msg: &str, call: &Name, rest: std::fmt::Arguments) -> Vec<u8> {
    let mut line = Vec::with_capacity(64);
    let _ = writeln!(
        line,
        "{{\"msg\":\"{msg}\",\"call\":\"{}\"{rest}}}",
        spelt(call)
    );
    line
}

/// The sending side: it knows which commands the engine has surely read, since gauges asked for later on the
/// same link have come back.
#[derive(Default)]
pub struct EngineLink {
    pub out: Outbox,
    /// Linked, and all notices that were missed have been read.
    pub up: bool,
    asked: u64,
    heard: u64,
    /// What was heard when the link before this one was lost.
    proven: u64,
    /// Rings since a question that is still open was asked.
    rings: u32,
}

impl EngineLink {
    /// A fresh connection: the engine is told what was read last.
    pub fn attach(&mut self, out: Outbox, serial: u64) {
        out.put(|b| {
            let _ = writeln!(b, "{{\"msg\":\"ATTACH\",\"serial\":{serial}}}");
        });
        (self.out, self.heard, self.rings) = (out, self.asked, 0);
    }

    /// The connection is gone: what is sent now waits for the next one. What was proven stays as it was when
    /// a link is lost before it was up, however often: else commands lost with the first would count as read.
    pub fn lost(&mut self) {
        if std::mem::replace(&mut self.up, false) {
            self.proven = self.heard;
        }
    }

    pub fn send(&self, line: &[u8]) {
        if self.up {
            self.out.put(|b| b.extend_from_slice(line));
        }
    }

    /// The timer rang: the gauges are asked for, and a link that answers none for long is ended.
    pub fn rang(&mut self) {
        self.rings = if self.heard < self.asked {
            self.rings + 1
        } else {
            0
        };
        if self.rings == SILENT {
            self.out.cut();
        }
        if self.up {
            self.ask(false);
        }
    }

    /// Asks for the gauges, unless it still waits for the last ones.
    pub fn ask(&mut self, again: bool) {
        if self.heard == self.asked || again {
            self.asked += 1;
            let cookie = self.asked;
            self.out.put(|b| {
                let _ = writeln!(b, "{{\"msg\":\"STAT\",\"cookie\":\"{cookie}\"}}");
            });
        }
    }

    /// The gauges that will prove what is sent now as read.
    pub fn proof(&self) -> u64 {
        self.asked + 1
    }

    pub fn proven_before(&self) -> u64 {
        self.proven
    }

    pub fn heard(&self) -> u64 {
        self.heard
    }

    fn answered(&mut self, cookie: u64) {
        self.heard = self.heard.max(cookie.min(self.asked));
    }
}

/// The reading side. It outlives its links: the last serial read says where the next one takes up.
pub struct NoticeReader {
    lines: Lines,
    last: Last,
}

/// How far the notices were read.
#[derive(Default)]
struct Last {
    serial: u64,
    /// Notices were missed for good.
    gap: bool,
}

impl Default for NoticeReader {
    fn default() -> NoticeReader {
        NoticeReader {
            lines: Lines::up_to(LINE_MOST),
            last: Last::default(),
        }
    }
}

impl NoticeReader {
    pub fn relinked(&mut self) {
        self.lines = Lines::up_to(LINE_MOST);
    }

    /// False when the link can't be read on.
    pub fn fed(&mut self, now: Timestamp, bytes: &[u8], core: &mut impl EngineObserver) -> bool {
        let last = &mut self.last;
        self.lines.feed(bytes, |line| {
            if last.line(now, line, core).is_none() {
                core.unread();
                log::warn!("engine: unreadable notice skipped");
            }
        })
    }

    /// The last notice that was read.
    pub fn serial(&self) -> u64 {
        self.last.serial
    }
}

impl Last {
    fn line(&mut self, now: Timestamp, line: &[u8], core: &mut impl EngineObserver) -> Option<()> {
        let notice = Members::read(std::str::from_utf8(line).ok()?)?;
        let msg = notice.text("msg")?;
        if let Some(serial) = notice.whole("serial") {
            if serial <= self.serial {
                return Some(());
            }
            self.gap |= serial > self.serial + 1;
            self.serial = serial;
        }
        let call = || -> Option<Name> { notice.text("call")?.as_bytes().try_into().ok() };
        let spent = || {
            notice
                .number("duration")
                .map_or(Duration::ZERO, |ms| Duration::from_secs_f64(ms / 1e3))
        };
        match &*msg {
            "HELLO" => core.hello(now, &notice.text("how")?, spent()),
            "DONE" => {
                let how = match &*notice.text("how")? {
                    "good" => Outcome::Completed,
                    "bad" => Outcome::Failed,
                    "cut" => Outcome::Cancelled,
                    "gone" => Outcome::AlreadyEnded,
                    _ => return None,
                };
                core.run_over(
                    now,
                    &call()?,
                    how,
                    spent(),
                    notice.raw("blob").unwrap_or("\"\""),
                );
            }
            "NEED" => core.at_call(now, &call()?, self.serial, &notice.text("blob")?),
            "STATS" => {
                let raw = notice.raw("stats")?;
                let inner = raw.strip_prefix('[')?.strip_suffix(']')?;
                let gauges = inner
                    .split(',')
                    .map(|g| crate::support::json::number(g.trim()))
                    .collect::<Option<Vec<f64>>>();
                core.link().answered(whole(&notice.text("cookie")?)?);
                core.gauges(now, &gauges?, std::mem::take(&mut self.gap));
            }
            "NO" => core.declined(now, &notice.text("how")?, &call()?),
            "NOTE" => {}
            _ => return None,
        }
        Some(())
    }
}

/// A connection to the address moved to, once there is one: the link before goes on until then.
async fn moved(address: &mut watch::Receiver<SocketAddr>) -> TcpStream {
    if address.changed().await.is_err() {
        pending::<()>().await;
    }
    loop {
        let at = *address.borrow_and_update();
        match connect(at, CONNECT).await {
            Ok(stream) => return stream,
            Err(e) => log::warn!("engine: new address unreachable, error={e}"),
        }
        tokio::time::sleep(UNREACHED).await;
    }
}

/// The driver: keeps a link to the engine and takes it up again where it was lost, or at another address.
pub async fn run<C: EngineObserver>(
    mut address: watch::Receiver<SocketAddr>,
    clock: Rc<Clock>,
    core: Rc<RefCell<C>>,
) {
    let mut notices = NoticeReader::default();
    let mut next = None;
    loop {
        // An address that came while the last one was being connected to is left for `moved` to see.
        let stream = match next.take() {
            Some(stream) => Ok(stream),
            None => {
                let at = *address.borrow_and_update();
                connect(at, CONNECT).await
            }
        };
        let stream = match stream {
            Ok(stream) => stream,
            Err(e) => {
                log::warn!("engine: unreachable, error={e}");
                let _ = timeout(UNREACHED, address.changed()).await;
                continue;
            }
        };
        let out = Outbox::default();
        notices.relinked();
        core.borrow_mut()
            .link()
            .attach(out.clone(), notices.serial());
        let fed = |bytes: &[u8]| notices.fed(clock.now(), bytes, &mut *core.borrow_mut());
        let end = tokio::select! {
            end = drive_link(&stream, &out, fed) => Some(end),
            stream = moved(&mut address) => {
                next = Some(stream);
                None
            }
        };
        core.borrow_mut().unlinked();
        match end {
            None => log::info!("engine: address changed, last_notice={}", notices.serial()),
            Some(end) => {
                log::warn!(
                    "engine: link lost, last_notice={}, result={end:?}",
                    notices.serial()
                );
                tokio::time::sleep(AGAIN).await;
            }
        }
    }
}
