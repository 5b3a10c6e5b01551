//! Measurements of simulated fleets under demands of several shapes: leases in comparison with
//! fixed parts of the capacity and with a central lessor.

use crate::central_lessor;
use crate::demand::{BASE_QUOTA, DemandShape, end_demands, follow, setup, start};
use madderbay::time::Duration;
use madderbay_testkit::fleet::script::Action;
use madderbay_testkit::fleet::simulated::SimulatedFleet;
use madderbay_testkit::measurement::fleets::act;
use madderbay_testkit::measurement::report::table_head;

const SERVERS: [usize; 3] = [10, 100, 1_000];
/// Maximum number of servers of a fleet that is also partitioned and compared with a central
/// lessor.
const MAX_SERVERS_FOR_COMPARISON: usize = 100;
const CALL_MS: u64 = 50;
/// Time without demand before each case.
const IDLE_TIME: Duration = Duration::from_millis(3_000);
/// Time between a demand being followed and the measurement.
const SETTLING_TIME: Duration = Duration::from_millis(2_000);
/// Time over which a case is measured.
const MEASURED_TIME: Duration = Duration::from_millis(5_000);
/// Time for which the central lessor is measured, in seconds.
const CENTRAL_SECS: f64 = 5.0;
/// Time for which the central lessor is measured under a partition, in seconds.
const PARTITIONED_CENTRAL_SECS: f64 = 15.0;

/// Prints the table, or only the rows of one number of servers.
pub(crate) fn measure(only_servers: Option<usize>) {
    let headings = [
        "servers, demand",
        "variant",
        "use of the quota",
        "follows within, s",
        "peak of the quota",
        "bytes a second a server",
    ];
    println!("{}", table_head(&headings));
    let servers = SERVERS
        .into_iter()
        .filter(|servers| only_servers.is_none_or(|only_servers| only_servers == *servers));
    for servers in servers {
        let mut measured = MeasuredFleet::start(servers);
        for shape in DemandShape::ALL {
            measured.print_case(shape);
        }
        if servers <= MAX_SERVERS_FOR_COMPARISON {
            measured.print_partitions();
        }
    }
}

/// Results of one demand.
struct DemandResult {
    /// Mean number of calls in flight, as a fraction of the capacity.
    used: f64,
    /// Largest number of calls in flight, as a fraction of the capacity.
    peak: f64,
    /// Time until most of the demand was followed, in seconds.
    follow_secs: f64,
    /// Bytes per second that each server sends on average.
    bytes_per_second: f64,
}

/// A started fleet, with the capacity of its quota.
struct MeasuredFleet {
    fleet: SimulatedFleet,
    servers: usize,
    capacity: u32,
}

impl MeasuredFleet {
    fn start(servers: usize) -> MeasuredFleet {
        let capacity = servers as u32 * BASE_QUOTA;
        let mut fleet = SimulatedFleet::new(setup(servers, capacity, CALL_MS), 1);
        start(&mut fleet, servers);
        MeasuredFleet {
            fleet,
            servers,
            capacity,
        }
    }

    /// Prints the rows of one shape of demand.
    fn print_case(&mut self, shape: DemandShape) {
        let demands = shape.demands(self.servers, self.capacity);
        self.print_leases(shape.name(), &demands);
        let fixed_quota_use: u32 = demands.iter().map(|demand| (*demand).min(BASE_QUOTA)).sum();
        println!(
            "| | fixed parts | {:.2} | - | 1.00 at most | 0 |",
            f64::from(fixed_quota_use) / f64::from(self.capacity)
        );
        if self.servers <= MAX_SERVERS_FOR_COMPARISON {
            self.print_central(&demands, false, CENTRAL_SECS);
        }
    }

    /// Prints the rows of a fleet that is partitioned into halves, and of one in which all
    /// datagrams are lost, while every server has demand for the whole capacity.
    fn print_partitions(&mut self) {
        let middle = self.servers / 2;
        let demands = vec![self.capacity; self.servers];
        let halves = vec![(0..middle).collect(), (middle..self.servers).collect()];
        act(&mut self.fleet, Action::Cut(halves));
        self.print_leases("partitioned into halves", &demands);
        self.print_central(&demands, true, PARTITIONED_CENTRAL_SECS);
        act(&mut self.fleet, Action::Heal);
        act(&mut self.fleet, Action::loss(1.0));
        self.print_leases("all isolated", &demands);
    }

    fn print_leases(&mut self, case: &str, demands: &[u32]) {
        let result = self.measure(demands);
        println!(
            "| {}, {case} | leases | {:.2} | {:.1} | {:.2} | {:.0} |",
            self.servers, result.used, result.follow_secs, result.peak, result.bytes_per_second
        );
    }

    /// Prints the row of the central lessor; `halved` says whether the fleet is partitioned into
    /// halves.
    fn print_central(&mut self, demands: &[u32], halved: bool, secs: f64) {
        let fleet = &mut self.fleet;
        let result = central_lessor::play(fleet, self.capacity, demands, halved, secs);
        println!(
            "| | one lessor | {:.2} | - | {:.2} | - |",
            result.used, result.peak
        );
    }

    /// Ends all demand, sets the given demand, and measures the fleet once it follows.
    fn measure(&mut self, demands: &[u32]) -> DemandResult {
        end_demands(&mut self.fleet, self.servers);
        self.fleet.run(IDLE_TIME);
        self.fleet.peak = 0;
        let follow_secs = follow(&mut self.fleet, self.capacity, demands);
        self.fleet.run(SETTLING_TIME);
        let used_before = self.fleet.used();
        let bytes_before = bytes_sent(&self.fleet);
        self.fleet.run(MEASURED_TIME);
        let secs = MEASURED_TIME.as_secs_f64();
        let used = self.fleet.used() - used_before;
        let bytes = (bytes_sent(&self.fleet) - bytes_before) as f64;
        DemandResult {
            used: used / secs / f64::from(self.capacity),
            peak: f64::from(self.fleet.peak) / f64::from(self.capacity),
            follow_secs,
            bytes_per_second: bytes / secs / self.servers as f64,
        }
    }
}

/// Returns the bytes that the quotas and counters of all servers have sent.
pub(crate) fn bytes_sent(fleet: &SimulatedFleet) -> u64 {
    let servers = fleet.running().map(|(server, _)| server);
    servers
        .filter_map(|server| Some(fleet.shared(server)?.totals().bytes_sent))
        .sum()
}
