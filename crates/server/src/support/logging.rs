//! A small logger: one line an event on standard error. Lines are written by a thread of their own, so that
//! slow or blocked standard error holds up nothing; what does not fit its queue is counted and left out.

use log::{Level, LevelFilter, Log, Metadata, Record};
use std::collections::HashMap;
use std::io::Write;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::sync::{OnceLock, atomic::AtomicU64, atomic::Ordering};
use std::time::{Duration, Instant};

/// Lines that may wait for standard error.
const WAITING: usize = 1024;
/// Lines of one place in the code that are written a span; the rest are counted.
const OFTEN: u64 = 5;
const SPAN: Duration = Duration::from_secs(10);

enum Entry {
    Line(Level, &'static str, u32, String),
    Plain(String),
    Flush(SyncSender<()>),
}

struct Logger {
    to: OnceLock<SyncSender<Entry>>,
    dropped: AtomicU64,
}

static LOGGER: Logger = Logger {
    to: OnceLock::new(),
    dropped: AtomicU64::new(0),
};

impl Logger {
    fn send(&self, entry: Entry) {
        if self.to.get().is_some_and(|to| to.try_send(entry).is_err()) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record) {
        if self.enabled(record.metadata()) {
            let (file, line) = (
                record.module_path_static().unwrap_or(""),
                record.line().unwrap_or(0),
            );
            self.send(Entry::Line(
                record.level(),
                file,
                line,
                record.args().to_string(),
            ));
        }
    }

    fn flush(&self) {
        let (done, wait) = sync_channel(1);
        self.send(Entry::Flush(done));
        let _ = wait.recv_timeout(Duration::from_millis(200));
    }
}

/// Starts the logger; a level that is unknown is told, and the default taken.
pub fn start(level: Option<&str>) {
    let (to, from) = sync_channel(WAITING);
    let _ = LOGGER.to.set(to);
    let _ = std::thread::Builder::new()
        .name("log".into())
        .stack_size(64 << 10)
        .spawn(move || write(from));
    let _ = log::set_logger(&LOGGER);
    let known = level.map(|l| l.parse::<LevelFilter>());
    log::set_max_level(
        known
            .as_ref()
            .and_then(|k| k.as_ref().ok())
            .copied()
            .unwrap_or(LevelFilter::Info),
    );
    if let (Some(Err(_)), Some(level)) = (known, level) {
        log::warn!("log level '{level}' is unknown; info is taken");
    }
}

/// Writes text as it is, after the lines before it.
pub fn plain(text: String) {
    LOGGER.send(Entry::Plain(text));
}

/// Waits a little for what is queued.
pub fn flush() {
    LOGGER.flush();
}

fn write(from: Receiver<Entry>) {
    let mut places: HashMap<(&'static str, u32), u64> = HashMap::new();
    let mut since = Instant::now();
    loop {
        let entry = from.recv_timeout(SPAN);
        let mut text = String::new();
        if since.elapsed() >= SPAN {
            let mut held: Vec<_> = places.drain().filter(|p| p.1 > OFTEN).collect();
            held.sort_unstable();
            for ((module, line), n) in held {
                text += &format!("INFO {module}:{line} {} like lines held back\n", n - OFTEN);
            }
            let dropped = LOGGER.dropped.swap(0, Ordering::Relaxed);
            if dropped > 0 {
                text += &format!("INFO log {dropped} lines dropped\n");
            }
            since = Instant::now();
        }
        let mut flushed = None;
        match entry {
            Ok(Entry::Line(level, module, line, what)) => {
                let seen = places.entry((module, line)).or_default();
                *seen += 1;
                if *seen <= OFTEN || level > Level::Info {
                    text += &format!("{level} {what}\n");
                }
            }
            Ok(Entry::Plain(what)) => text += &what,
            Ok(Entry::Flush(done)) => flushed = Some(done),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let _ = std::io::stderr().write_all(text.as_bytes());
        if let Some(done) = flushed {
            let _ = done.send(());
        }
    }
}
