//! Tests of the queue and the writer of the log. The numbers are those of the on-call page.

use super::*;
use std::rc::Rc;

static DROPPED: AtomicU64 = AtomicU64::new(0);
const START: Timestamp = Timestamp::from_micros(0);

fn writer(dropped: &'static AtomicU64) -> Writer {
    Writer::new(dropped, Rc::new(|| START))
}

fn line(level: Level, line: u32) -> Entry {
    let module = "madderbay_server::upstream";
    Entry::Line {
        level,
        place: Place { module, line },
        message: "engine: unreachable".into(),
    }
}

fn written(writer: &mut Writer, entries: impl IntoIterator<Item = Entry>) -> String {
    let mut text = String::new();
    for entry in entries {
        assert!(writer.append(START, entry, &mut text).is_none());
    }
    text
}

#[test]
fn lines_begin_with_their_level_and_text_is_unchanged() {
    let mut writer = writer(&DROPPED);
    let entries = [line(Level::Warn, 1), Entry::Text("counter open 0\n".into())];
    let text = written(&mut writer, entries);
    assert_eq!(text, "WARN engine: unreachable\ncounter open 0\n");
}

#[test]
fn lines_below_info_are_not_limited() {
    let mut writer = writer(&DROPPED);
    for (level, count) in [(Level::Error, 5), (Level::Info, 5), (Level::Debug, 9)] {
        let lines = (0..9).map(|_| line(level, level as u32));
        assert_eq!(written(&mut writer, lines).lines().count(), count);
    }
}

#[test]
fn ended_interval_reports_lines_that_were_not_written() {
    static DROPPED_HERE: AtomicU64 = AtomicU64::new(3);
    let mut writer = writer(&DROPPED_HERE);
    written(&mut writer, (0..7).map(|_| line(Level::Warn, 12)));
    let before_end = Timestamp::from_micros(9_999_999);
    assert_eq!(writer.report_of_ended_interval(before_end), "");
    let end = Timestamp::from_micros(10_000_000);
    let report = "INFO log: lines suppressed, place=madderbay_server::upstream:12, count=2\n\
                  INFO log: lines dropped, count=3\n";
    assert_eq!(writer.report_of_ended_interval(end), report);
    assert_eq!(writer.report_of_ended_interval(end), "");
}

#[test]
fn full_queue_counts_dropped_entries_and_does_not_block() {
    let queue = LogQueue::new();
    queue.send(Entry::Text("discarded before the start".into()));
    let (sender, entries) = sync_channel(MAX_QUEUED_ENTRIES);
    queue.sender.set(sender).expect("not set yet");
    (0..1_030).for_each(|_| queue.send(Entry::Text("text".into())));
    queue.flush(Duration::from_millis(1));
    assert_eq!(queue.dropped.load(Ordering::Relaxed), 7);
    assert_eq!(entries.try_iter().count(), 1_024);
}

#[test]
fn flush_waits_for_a_bounded_time() {
    let queue = LogQueue::new();
    let (sender, _entries) = sync_channel(MAX_QUEUED_ENTRIES);
    queue.sender.set(sender).expect("not set yet");
    let start = Instant::now();
    queue.flush(Duration::from_millis(20));
    assert!(start.elapsed() >= Duration::from_millis(20));
}

/// Debug lines are never suppressed. When they were counted as suppressed, operators looked for missing lines that
/// had been written.
#[test]
fn lines_below_info_are_not_counted_as_suppressed() {
    let mut writer = writer(&DROPPED);
    written(&mut writer, (0..9).map(|_| line(Level::Debug, 12)));
    let end = Timestamp::from_micros(10_000_000);
    assert_eq!(writer.report_of_ended_interval(end), "");
}
