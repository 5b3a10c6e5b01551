//! Simulated fleets under demands of several shapes: the shared budget beside fixed parts and
//! beside a central lessor.

use crate::budget::{BASE_QUOTA, demands, end_demands, follow, setup, start};
use crate::central_lessor;
use madderbay::time::Duration;
use madderbay_testkit::fleet::script::Action;
use madderbay_testkit::fleet::simulated::SimulatedFleet;
use madderbay_testkit::measurement::fleets::act;
use madderbay_testkit::measurement::report::table_head;

const SERVERS: [usize; 3] = [10, 100, 1_000];
/// Larger fleets have neither cuts nor a central lessor.
const MAX_SERVERS_FOR_ALL: usize = 100;
const CALL_MS: u64 = 50;
/// The time that a fleet gets without work, after a demand is followed, and to be measured.
const IDLE_TIME: Duration = Duration::from_millis(3_000);
const SETTLING_TIME: Duration = Duration::from_millis(2_000);
const MEASURED_TIME: Duration = Duration::from_millis(5_000);
/// The seconds for which the central lessor is measured, and under a cut.
const CENTRAL_SECS: f64 = 5.0;
const CENTRAL_CUT_SECS: f64 = 15.0;

/// Prints the table, or the rows of one number of servers.
pub(crate) fn measure(only: Option<usize>) {
    let heads = [
        "servers, demand",
        "way",
        "use of the whole",
        "follows within, s",
        "peak of the whole",
        "bytes a second",
    ];
    println!("{}", table_head(&heads));
    let servers = SERVERS
        .into_iter()
        .filter(|servers| only.is_none_or(|only| only == *servers));
    for servers in servers {
        let mut budgeted = BudgetedFleet::start(servers);
        for case in ["even", "skewed", "single"] {
            budgeted.print_case(case);
        }
        if servers <= MAX_SERVERS_FOR_ALL {
            budgeted.print_cuts();
        }
    }
}

/// What a demand has come to.
struct Played {
    /// Calls in flight as a part of the capacity: the mean and the most.
    used: f64,
    peak: f64,
    /// Seconds until most of the demand was followed.
    follow: f64,
    /// Bytes a second and server.
    bytes: f64,
}

/// A fleet that has started, with the capacity of its budget.
struct BudgetedFleet {
    fleet: SimulatedFleet,
    servers: usize,
    capacity: u32,
}

impl BudgetedFleet {
    fn start(servers: usize) -> BudgetedFleet {
        let capacity = servers as u32 * BASE_QUOTA;
        let mut fleet = SimulatedFleet::new(setup(servers, capacity, CALL_MS), 1);
        start(&mut fleet, servers);
        BudgetedFleet {
            fleet,
            servers,
            capacity,
        }
    }

    /// Prints the rows of a shape of demand.
    fn print_case(&mut self, case: &str) {
        let demands = demands(case, self.servers, self.capacity);
        self.print_played(case, &demands);
        let fixed: u32 = demands.iter().map(|demand| (*demand).min(BASE_QUOTA)).sum();
        println!(
            "| | fixed parts | {:.2} | - | 1.00 at most | 0 |",
            f64::from(fixed) / f64::from(self.capacity)
        );
        if self.servers <= MAX_SERVERS_FOR_ALL {
            self.print_central(&demands, false, CENTRAL_SECS);
        }
    }

    /// Prints the rows of a fleet that is cut into halves, and of one in which nothing arrives,
    /// while every server has work for the whole budget.
    fn print_cuts(&mut self) {
        let (servers, middle) = (self.servers, self.servers / 2);
        let demands = vec![self.capacity; servers];
        let halves = vec![(0..middle).collect(), (middle..servers).collect()];
        act(&mut self.fleet, Action::Cut(halves));
        self.print_played("cut into halves", &demands);
        self.print_central(&demands, true, CENTRAL_CUT_SECS);
        act(&mut self.fleet, Action::Heal);
        act(&mut self.fleet, Action::loss(1.0));
        self.print_played("all deaf", &demands);
    }

    fn print_played(&mut self, case: &str, demands: &[u32]) {
        let played = self.play(demands);
        println!(
            "| {}, {case} | shared | {:.2} | {:.1} | {:.2} | {:.0} |",
            self.servers, played.used, played.follow, played.peak, played.bytes
        );
    }

    fn print_central(&mut self, demands: &[u32], cut: bool, secs: f64) {
        let result = central_lessor::play(&mut self.fleet, self.capacity, demands, cut, secs);
        println!(
            "| | one giver | {:.2} | - | {:.2} | - |",
            result.used, result.peak
        );
    }

    /// Ends all work, gives the servers this one, and measures the fleet once it has settled.
    fn play(&mut self, demands: &[u32]) -> Played {
        end_demands(&mut self.fleet, self.servers);
        self.fleet.run(IDLE_TIME);
        self.fleet.peak = 0;
        let follow = follow(&mut self.fleet, self.capacity, demands);
        self.fleet.run(SETTLING_TIME);
        let (used_before, bytes_before) = (self.fleet.used(), bytes_sent(&self.fleet));
        self.fleet.run(MEASURED_TIME);
        let secs = MEASURED_TIME.as_secs_f64();
        let bytes = (bytes_sent(&self.fleet) - bytes_before) as f64;
        Played {
            used: (self.fleet.used() - used_before) / secs / f64::from(self.capacity),
            peak: f64::from(self.fleet.peak) / f64::from(self.capacity),
            follow,
            bytes: bytes / secs / self.servers as f64,
        }
    }
}

/// Bytes that the quotas and counters of all servers have sent.
pub(crate) fn bytes_sent(fleet: &SimulatedFleet) -> u64 {
    let servers = fleet.running().map(|(server, _)| server);
    servers
        .filter_map(|server| Some(fleet.shared(server)?.totals().bytes_sent))
        .sum()
}
