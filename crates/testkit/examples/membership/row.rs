//! One row of a table, and the faults that each row measures.

use madderbay::time::Duration;
use madderbay_testkit::fleet::script::{Action, Condition, Fleet};
use madderbay_testkit::measurement::fleets::{act, start_all, wait_until};
use madderbay_testkit::measurement::report::{median, table_head};

/// Upper bound on the time that a fleet takes to settle.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(120_000);

/// Results of the runs of one row. Times are in seconds, infinite if a fleet did not settle;
/// traffic is in bytes per second and member; processor time is in percent of a core.
#[derive(Default)]
pub(crate) struct Row {
    pub(crate) join: Vec<f64>,
    pub(crate) crash: Vec<f64>,
    pub(crate) partition: Vec<f64>,
    pub(crate) heal: Vec<f64>,
    pub(crate) bytes: Vec<f64>,
    pub(crate) cpu: Vec<f64>,
    /// Number of members that were declared down while they were running and connected.
    pub(crate) wrongly_down: usize,
}

impl Row {
    /// Adds the results of other runs.
    pub(crate) fn add(&mut self, other: Row) {
        self.join.extend(other.join);
        self.crash.extend(other.crash);
        self.partition.extend(other.partition);
        self.heal.extend(other.heal);
        self.bytes.extend(other.bytes);
        self.cpu.extend(other.cpu);
        self.wrongly_down += other.wrongly_down;
    }

    /// Prints the row; `first_columns` is the text of its first columns.
    pub(crate) fn print_line(&mut self, first_columns: &str) {
        println!(
            "| {first_columns} | {} | {} | {} | {} | {} | {} | {} |",
            median_and_worst(&mut self.join, 1),
            median_and_worst(&mut self.crash, 1),
            median_and_worst(&mut self.partition, 1),
            median_and_worst(&mut self.heal, 1),
            median_and_worst(&mut self.bytes, 0),
            median_and_worst(&mut self.cpu, 3),
            self.wrongly_down
        );
    }

    /// Plays the faults: all servers but the last start and settle, the last one joins, one
    /// crashes, a third of the servers is partitioned off, and the partition heals.
    /// `measure_settled` measures the cost of the settled fleet before the join.
    pub(crate) fn play<F: Fleet>(
        &mut self,
        fleet: &mut F,
        servers: usize,
        measure_settled: impl FnOnce(&mut F, &mut Row),
    ) {
        let last = servers - 1;
        start_all(fleet, 0..last);
        if settle(fleet).is_infinite() {
            return self.join.push(f64::INFINITY);
        }
        measure_settled(fleet, self);
        act(fleet, Action::start(last));
        self.join.push(settle(fleet));
        act(fleet, Action::Kill(servers / 2));
        self.crash.push(settle(fleet));
        let third = servers / 3;
        let groups = vec![(0..third).collect(), (third..servers).collect()];
        act(fleet, Action::Cut(groups));
        self.partition.push(settle(fleet));
        act(fleet, Action::Heal);
        self.heal.push(settle(fleet));
    }
}

/// Prints the header of a table; `first` is the heading of its first columns.
pub(crate) fn print_table_head(first: &str) {
    let headings = [
        first,
        "join, s",
        "crash, s",
        "partition, s",
        "heal, s",
        "bytes a second",
        "CPU, % of a core",
        "held down",
    ];
    println!("{}", table_head(&headings));
}

/// Waits until a fleet has settled, and returns the time that it took in seconds; infinite if it
/// does not settle.
pub(crate) fn settle(fleet: &mut impl Fleet) -> f64 {
    wait_until(fleet, &Condition::Settled, SETTLE_TIMEOUT)
}

/// Returns an action that makes the network lose a fraction of all datagrams and delay the others
/// by up to 5 ms.
pub(crate) fn lossy_network(loss: f64) -> Action {
    let delay = Some((Duration::from_micros(200), Duration::from_millis(5)));
    Action::Network {
        loss: Some(loss),
        duplication: None,
        corruption: None,
        delay,
    }
}

/// Formats the median and, in brackets, the largest value; a hyphen if there are no values.
fn median_and_worst(values: &mut [f64], digits: usize) -> String {
    if values.is_empty() {
        return "-".into();
    }
    let median = median(values);
    let worst = values[values.len() - 1];
    format!("{median:.digits$} ({worst:.digits$})")
}
