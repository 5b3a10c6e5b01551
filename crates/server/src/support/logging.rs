//! The program's logger, which writes one line per event to standard error: `LEVEL component: event, key=value,
//! key=value`.
//!
//! The module owns the level, the queue of lines and the thread that writes them. Lines come from the macros of the
//! `log` crate; `plain` accepts text that is written unchanged. Logging never blocks the caller: a line that does
//! not fit in the queue is counted and dropped, and so is each further line of a place in the code that logs too
//! often. Both counts are reported in log lines of their own.
//!
//! `tracing` with `tracing-appender` would provide the queue and the thread. The limit per place in the code, the
//! counts of what was not written, text in order with the lines, and a flush that returns within a bound at any
//! time would still have to be implemented here, on a larger interface. The module therefore keeps the `log` crate.

mod place_limit;
mod writer;

use log::{LevelFilter, Log, Metadata, Record};
use place_limit::Place;
use std::time::Duration;
use writer::{Entry, LogQueue};

/// Upper bound on the time that [`flush`] waits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// The level if none is configured or the configured one is unknown.
const DEFAULT_LEVEL: LevelFilter = LevelFilter::Info;

static LOGGER: Logger = Logger {
    queue: LogQueue::new(),
};

/// The logger that the `log` crate passes its records to.
struct Logger {
    queue: LogQueue,
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        self.queue.send(Entry::Line {
            level: record.level(),
            place: Place {
                module: record.module_path_static().unwrap_or(""),
                line: record.line().unwrap_or(0),
            },
            message: record.args().to_string(),
        });
    }

    fn flush(&self) {
        self.queue.flush(FLUSH_TIMEOUT);
    }
}

/// Starts the logger at the level that `level` names. If it is missing or unknown, `info` is used; an unknown level
/// is logged. Later calls only change the level.
pub fn start(level: Option<&str>) {
    LOGGER.queue.start_writer();
    let _ = log::set_logger(&LOGGER);
    let configured = level.map(str::parse::<LevelFilter>);
    let known = configured.as_ref().and_then(|level| level.as_ref().ok());
    log::set_max_level(known.copied().unwrap_or(DEFAULT_LEVEL));
    if let (Some(Err(_)), Some(level)) = (configured, level) {
        log::warn!("log: unknown level replaced by info, level={level}");
    }
}

/// Writes text unchanged, after the lines queued before it, whatever the level. Like a line, it is counted and
/// dropped if the queue is full.
pub fn plain(text: String) {
    LOGGER.queue.send(Entry::Text(text));
}

/// Waits until everything queued was written, for 200 ms at most.
pub fn flush() {
    LOGGER.flush();
}
