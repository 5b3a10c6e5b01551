//! Slow start: the allowances that a cold server reports to its clients add up to no more runs than it supports.

use madderbay::decide::Decider;
use madderbay::interface::{
    Actions, Arrival, Cancellation, Downstream, FleetPosition, Gauges, Handler, LoadReport,
    Machine, Outcome, RetrySafety, Rules,
};
use madderbay::time::{Duration, Timestamp};

const START: Timestamp = Timestamp::from_micros(1_000_000_000);
const WARM_UP: Duration = Duration::from_millis(10_000);

#[derive(Default)]
struct ActionLog {
    /// The latest load report.
    load_report: Option<f64>,
    started: Vec<u64>,
    /// Retry-After of each rejection.
    rejected: Vec<Duration>,
}

impl Actions for ActionLog {
    fn start(&mut self, id: u64) {
        self.started.push(id);
    }
    fn reject(&mut self, _id: u64, retry_after: Duration, _is_final: bool) {
        self.rejected.push(retry_after);
    }
    fn set_load_report(&mut self, value: f64) {
        self.load_report = Some(value);
    }
    fn cancel(&mut self, _id: u64) {}
    fn abandon(&mut self, _id: u64) {}
    fn fail(&mut self, _id: u64) {}
    fn call(&mut self, _id: u64, _timeout: Duration) {}
    fn skip_call(&mut self, _id: u64) {}
    fn store_key(&mut self, _id: u64, _lifetime: Duration) {}
    fn remove_key(&mut self, _id: u64) {}
    fn join_attempt(&mut self, _id: u64) {}
    fn set_health(&mut self, _healthy: bool) {}
    fn set_idle_limit(&mut self, _limit: Duration) {}
    fn set_timer(&mut self, _after: Duration) {}
}

fn machine(cold: bool) -> Machine {
    Machine {
        cores: 4,
        memory_kb: 1e6,
        running_memory_factor: 4.0,
        key_memory_kb: 1.0,
        cancellation: Cancellation::Pauses,
        max_concurrency_per_core: 5.0,
        starts_cold: cold,
        cold_speed: 0.25,
        warm_up: WARM_UP,
    }
}

/// Returns the number of runs that a machine supports after this fraction of its warm-up.
fn supported(machine: &Machine, warm_up_fraction: f64) -> f64 {
    let speed = (machine.cold_speed + (1.0 - machine.cold_speed) * warm_up_fraction).min(1.0);
    f64::from(machine.cores) * (1.0 + (machine.max_concurrency_per_core - 1.0) * speed)
}

fn server(cold: bool, clients: u32) -> Decider {
    let handler = Handler {
        latency_objective: Duration::from_millis(2_000),
        objective_stretch: 0.0,
        timeout: Duration::from_millis(8_000),
        weight: 1.0,
        late_weight: 0.0,
        retry_safety: RetrySafety::Idempotent,
        idempotency_window: Duration::ZERO,
        makes_calls: false,
        partial_weight: 0.0,
    };
    let downstream = Downstream {
        clients,
        load_report: LoadReport::Allowance,
        max_retry_after: Duration::from_millis(1_000),
        marks_retries: false,
        max_idle: Duration::from_millis(30_000),
    };
    let position = FleetPosition {
        servers: 3,
        tier: 0,
        weight_by_work: false,
        over_quota_weight: 0.05,
    };
    let rules = Rules {
        drain_grace: Duration::from_millis(2_000),
        requests_carry_timeout: true,
    };
    Decider::builder(START, 7, &machine(cold), &[handler], &position, &rules)
        .downstream(&downstream)
        .build()
}

fn request(id: u64, client: u16) -> Arrival {
    Arrival {
        id,
        client,
        timeout: Duration::from_millis(8_000),
        memory_kb: 1.0,
        ..Arrival::default()
    }
}

/// Checks the load reports of a whole warm-up with `configured` clients in the settings and `active` clients that send
/// requests.
fn check_warm_up(configured: u32, active: u16) {
    let (mut decider, mut out, machine) = (
        server(true, configured),
        ActionLog::default(),
        machine(true),
    );
    decider.on_start(&mut out);
    let clients = f64::from(configured.max(1));
    let first = out.load_report.expect("reported before the first answer");
    assert!(
        first * clients <= supported(&machine, 0.0),
        "initial allowance of {first} for each of {clients} clients"
    );
    let mut id = 0;
    for tick in 1..1_100u64 {
        let now = START + Duration::from_millis(10 * tick);
        // Each active client sends a request every 600 ms; its run takes 50 ms.
        for client in (0..active).filter(|c| (u64::from(*c) * 7 + tick).is_multiple_of(60)) {
            id += 1;
            decider.on_arrival(now, &request(id, client), &mut out);
        }
        let gauges = Gauges {
            run_queue: Some(1.0),
        };
        decider.on_tick(now, &gauges, &mut out);
        decider.settle(now, &mut out);
        for id in std::mem::take(&mut out.started) {
            decider.on_run_ended(now, id, Outcome::Completed, Duration::from_millis(50));
        }
        let warm_up_fraction = (now - START).as_secs_f64() / WARM_UP.as_secs_f64();
        let clients = clients.max(if tick > 60 { f64::from(active) } else { 0.0 });
        let value = out.load_report.expect("reported");
        if warm_up_fraction < 1.0 {
            let max = supported(&machine, warm_up_fraction);
            assert!(
                value * clients <= max,
                "allowance of {value} for each of {clients} clients at {now:?} exceeds {max} supported runs"
            );
        }
    }
    assert!(
        out.load_report.expect("reported") * clients > supported(&machine, 1.0) * 2.0,
        "a warm server reports no limit again"
    );
}

/// Holds from the first answer to the end of the warm-up, and counts clients in the settings as well as others.
#[test]
fn cold_server_reports_no_more_to_all_clients_than_it_supports() {
    for (configured, active) in [
        (1, 1),
        (3, 3),
        (20, 2),
        (20, 20),
        (30, 30),
        (3, 30),
        (0, 5),
        (150, 12),
    ] {
        check_warm_up(configured, active);
    }
}

#[test]
fn warm_server_reports_no_limit_at_start() {
    let (mut decider, mut out) = (server(false, 20), ActionLog::default());
    decider.on_start(&mut out);
    assert_eq!(out.load_report, None);
}

/// Many clients without a load report send requests at the same time. No more requests run than the machine supports,
/// and those that cannot meet their latency objective are rejected at once with a Retry-After.
#[test]
fn cold_server_rejects_at_once_what_it_cannot_run_in_time() {
    let (mut decider, mut out) = (server(true, 30), ActionLog::default());
    decider.on_start(&mut out);
    for id in 1..=300 {
        decider.on_arrival(START, &request(id, id as u16 % 30), &mut out);
    }
    decider.settle(START, &mut out);
    assert!(
        out.started.len() as f64 <= supported(&machine(true), 0.0),
        "{} started",
        out.started.len()
    );
    assert!(out.rejected.len() > 200, "{} rejected", out.rejected.len());
    assert!(
        out.rejected.iter().all(|after| *after > Duration::ZERO),
        "each rejection has a Retry-After"
    );
}
