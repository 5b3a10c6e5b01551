//! A cold server and all its callers: what it tells them adds up to what it survives, whoever has been heard.

use madderbay::decide::Decider;
use madderbay::interface::*;
use madderbay::time::{Duration, Timestamp};

const START: Timestamp = Timestamp::from_micros(1_000_000_000);
const COLD: Duration = Duration::from_millis(10_000);

#[derive(Default)]
struct Heard {
    /// The value that goes with an answer, once any was said.
    value: Option<f64>,
    started: Vec<u64>,
    shed: Vec<(u64, Duration)>,
}

impl Actions for Heard {
    fn start(&mut self, id: u64) {
        self.started.push(id);
    }
    fn reject(&mut self, id: u64, come_back: Duration, _last: bool) {
        self.shed.push((id, come_back));
    }
    fn set_load_report(&mut self, value: f64) {
        self.value = Some(value);
    }
    fn cancel(&mut self, _id: u64) {}
    fn fail(&mut self, _id: u64) {}
    fn call(&mut self, _id: u64, _patience: Duration) {}
    fn skip_call(&mut self, _id: u64) {}
    fn store_key(&mut self, _id: u64, _term: Duration) {}
    fn remove_key(&mut self, _id: u64) {}
    fn join_attempt(&mut self, _id: u64) {}
    fn set_health(&mut self, _good: bool) {}
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
        warm_up: COLD,
    }
}

/// What a server that is warm to this part survives at once.
fn survives(m: &Machine, warmed: f64) -> f64 {
    let speed = (m.cold_speed + (1.0 - m.cold_speed) * warmed).min(1.0);
    f64::from(m.cores) * (1.0 + (m.max_concurrency_per_core - 1.0) * speed)
}

fn server(cold: bool, known: u32) -> Decider {
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
    let below = Upstream {
        kind: UpstreamKind::None,
        quota: 0.0,
        abandoned_call_lifetime: Duration::ZERO,
        averaging_window: Duration::ZERO,
    };
    let callers = Downstream {
        clients: known,
        load_report: LoadReport::Allowance,
        max_retry_after: Duration::from_millis(1_000),
        marks_retries: false,
        max_idle: Duration::from_millis(30_000),
    };
    let place = FleetPosition {
        servers: 3,
        tier: 0,
        weight_by_work: false,
        over_quota_weight: 0.05,
    };
    let rules = Rules {
        drain_grace: Duration::from_millis(2_000),
        requests_carry_timeout: true,
    };
    Decider::builder(START, 7, &machine(cold), &[handler], &place, &rules)
        .upstream(&below)
        .downstream(&callers)
        .build()
}

fn req(id: u64, from: u16) -> Arrival {
    Arrival {
        id,
        client: from,
        timeout: Duration::from_millis(8_000),
        memory_kb: 1.0,
        ..Arrival::default()
    }
}

/// From the first answer to the end of the cold, over all callers: those that the settings name, and those that come
/// besides. With twenty and thirty processes of callers as with one.
#[test]
fn what_a_cold_server_tells_adds_up_to_what_it_survives() {
    for (known, come) in [
        (1, 1),
        (3, 3),
        (20, 2),
        (20, 20),
        (30, 30),
        (3, 30),
        (0, 5),
        (150, 12),
    ] {
        let (mut d, mut out, m) = (server(true, known), Heard::default(), machine(true));
        d.on_start(&mut out);
        let all = f64::from(known.max(1));
        let first = out.value.expect("said before the first answer");
        assert!(
            first * all <= survives(&m, 0.0),
            "{first} to each of {all} at first"
        );
        let mut id = 0;
        for tick in 1..1_100u64 {
            let now = START + Duration::from_millis(10 * tick);
            // Each comes every 600 ms and is done after 50.
            for from in (0..come).filter(|f| (u64::from(*f) * 7 + tick).is_multiple_of(60)) {
                id += 1;
                d.on_arrival(now, &req(id, from), &mut out);
            }
            d.on_tick(
                now,
                &Gauges {
                    run_queue: Some(1.0),
                },
                &mut out,
            );
            d.settle(now, &mut out);
            for id in std::mem::take(&mut out.started) {
                d.on_run_ended(now, id, Outcome::Completed, Duration::from_millis(50));
            }
            let warmed = (now - START).as_secs_f64() / COLD.as_secs_f64();
            let callers = all.max(if tick > 60 { f64::from(come) } else { 0.0 });
            let value = out.value.expect("said");
            if warmed < 1.0 {
                let most = survives(&m, warmed);
                assert!(
                    value * callers <= most,
                    "{value} to each of {callers} at {now:?}, over {most}"
                );
            }
        }
        assert!(
            out.value.expect("said") * all > survives(&m, 1.0) * 2.0,
            "warm, and open again"
        );
    }
}

/// One that is warm from the start says nothing until there is a cause.
#[test]
fn a_warm_server_is_open_from_the_start() {
    let (mut d, mut out) = (server(false, 20), Heard::default());
    d.on_start(&mut out);
    assert_eq!(out.value, None);
}

/// Many callers that have not heard it yet come at once: no more run than it survives, and what can't be done in time
/// is shed in that moment with a time to come back.
#[test]
fn a_cold_server_sheds_at_once_what_it_cannot_take() {
    let (mut d, mut out, m) = (server(true, 30), Heard::default(), machine(true));
    d.on_start(&mut out);
    for id in 1..=300 {
        d.on_arrival(START, &req(id, id as u16 % 30), &mut out);
    }
    d.settle(START, &mut out);
    assert!(
        out.started.len() as f64 <= survives(&m, 0.0),
        "{} started",
        out.started.len()
    );
    assert!(out.shed.len() > 200, "{} shed", out.shed.len());
    assert!(
        out.shed.iter().all(|(_, away)| *away > Duration::ZERO),
        "each is told when to come back"
    );
}
