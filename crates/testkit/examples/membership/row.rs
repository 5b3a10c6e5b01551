//! One row of a table, and the faults that all rows are about.

use madderbay::time::Duration;
use madderbay_testkit::fleet::script::{Action, Condition, Fleet};
use madderbay_testkit::measurement::fleets::{act, start_all, wait_until};
use madderbay_testkit::measurement::report::{median, table_head};

/// Upper bound on the time that a fleet takes to settle.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(120_000);

/// What the runs of one row have shown: seconds, infinite where a fleet did not settle; bytes a
/// second and member; processor time in percent of a core.
#[derive(Default)]
pub(crate) struct Row {
    pub(crate) join: Vec<f64>,
    pub(crate) crash: Vec<f64>,
    pub(crate) partition: Vec<f64>,
    pub(crate) heal: Vec<f64>,
    pub(crate) bytes: Vec<f64>,
    pub(crate) cpu: Vec<f64>,
    /// Members that were declared down while they ran and were connected.
    pub(crate) wrongly_down: usize,
}

impl Row {
    /// Adds what other runs have shown.
    pub(crate) fn add(&mut self, other: Row) {
        self.join.extend(other.join);
        self.crash.extend(other.crash);
        self.partition.extend(other.partition);
        self.heal.extend(other.heal);
        self.bytes.extend(other.bytes);
        self.cpu.extend(other.cpu);
        self.wrongly_down += other.wrongly_down;
    }

    /// Prints the row; `head` is what stands in its first columns.
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

    /// All but the last of the servers start, and settle; it joins, one crashes, a third is
    /// partitioned off, the partition heals. `calm` measures what a settled fleet costs.
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

/// Prints the beginning of a table whose first columns have these headings.
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

/// The time that a fleet takes to settle, in seconds; infinite if it does not.
pub(crate) fn settle(fleet: &mut impl Fleet) -> f64 {
    wait_until(fleet, &Condition::Settled, SETTLE_TIMEOUT)
}

/// Loses a fraction of all datagrams and delays the others by up to 5 ms.
pub(crate) fn lossy_network(loss: f64) -> Action {
    let delay = Some((Duration::from_micros(200), Duration::from_millis(5)));
    Action::Network {
        loss: Some(loss),
        double: None,
        spoil: None,
        delay,
    }
}

/// The median, and the largest in brackets; a hyphen without any.
fn median_and_worst(values: &mut [f64], digits: usize) -> String {
    if values.is_empty() {
        return "-".into();
    }
    let median = median(values);
    let worst = values[values.len() - 1];
    format!("{median:.digits$} ({worst:.digits$})")
}
