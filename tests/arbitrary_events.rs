//! The decision module completes each batch of events, whatever their order and times.

use madderbay::decide::Decider;
use madderbay::interface::{
    Actions, Arrival, Cancellation, FleetPosition, Gauges, Handler, HandlerId, Machine, Outcome,
    RetrySafety, Rules, Upstream,
};
use madderbay::time::{Duration, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Bound on the actions of one batch, far above what any batch needs; a batch that exceeds it does not terminate.
const MAX_ACTIONS: usize = 10_000;
/// Largest number of requests in a history.
const MAX_REQUESTS: u64 = 12;

/// Counts the actions of one batch.
#[derive(Default)]
struct ActionCounter(usize);

impl ActionCounter {
    fn count(&mut self) {
        self.0 += 1;
        assert!(self.0 < MAX_ACTIONS, "the batch does not terminate");
    }
}

impl Actions for ActionCounter {
    fn start(&mut self, _id: u64) {
        self.count();
    }
    fn cancel(&mut self, _id: u64) {
        self.count();
    }
    fn abandon(&mut self, _id: u64) {
        self.count();
    }
    fn reject(&mut self, _id: u64, _retry_after: Duration, _is_final: bool) {
        self.count();
    }
    fn fail(&mut self, _id: u64) {
        self.count();
    }
    fn call(&mut self, _id: u64, _timeout: Duration) {
        self.count();
    }
    fn skip_call(&mut self, _id: u64) {
        self.count();
    }
    fn store_key(&mut self, _id: u64, _lifetime: Duration) {
        self.count();
    }
    fn remove_key(&mut self, _id: u64) {
        self.count();
    }
    fn join_attempt(&mut self, _id: u64) {
        self.count();
    }
    fn set_health(&mut self, _healthy: bool) {
        self.count();
    }
    fn set_load_report(&mut self, _value: f64) {
        self.count();
    }
    fn set_idle_limit(&mut self, _limit: Duration) {
        self.count();
    }
    fn set_timer(&mut self, _after: Duration) {
        self.count();
    }
}

/// One event. The decision module ignores identifiers of requests that do not exist.
#[derive(Clone, Copy, Debug)]
enum Event {
    Arrival {
        handler: usize,
        retry_of: u64,
    },
    ClientGone(u64),
    CallNeeded(u64),
    CallFinished(u64, Outcome),
    RunEnded(u64, Outcome),
    Tick,
    Drain,
    /// The clock advances by this number of milliseconds.
    Wait(u64),
    /// The clock jumps to this time, in milliseconds, which may be earlier.
    JumpTo(u64),
    /// The clock jumps to the largest timestamp.
    JumpToEnd,
}

fn any_outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        Just(Outcome::Completed),
        Just(Outcome::Failed),
        Just(Outcome::Cancelled),
        Just(Outcome::Unreachable),
        Just(Outcome::TimedOut),
    ]
}

fn any_event() -> impl Strategy<Value = Event> {
    let id = 1..=MAX_REQUESTS;
    prop_oneof![
        8 => (0..3usize, 0..=MAX_REQUESTS)
            .prop_map(|(handler, retry_of)| Event::Arrival { handler, retry_of }),
        3 => id.clone().prop_map(Event::ClientGone),
        4 => id.clone().prop_map(Event::CallNeeded),
        3 => (id.clone(), any_outcome()).prop_map(|(id, outcome)| Event::CallFinished(id, outcome)),
        3 => (id, any_outcome()).prop_map(|(id, outcome)| Event::RunEnded(id, outcome)),
        6 => Just(Event::Tick),
        1 => Just(Event::Drain),
        6 => (0..400u64).prop_map(Event::Wait),
        3 => (0..100_000u64).prop_map(Event::JumpTo),
        1 => Just(Event::JumpToEnd),
    ]
}

fn handler(retry_safety: RetrySafety, partial_weight: f64) -> Handler {
    Handler {
        latency_objective: Duration::from_millis(500),
        objective_stretch: 0.0,
        timeout: Duration::from_millis(1_000),
        weight: 1.0,
        late_weight: 0.0,
        retry_safety,
        idempotency_window: Duration::from_millis(3_000),
        makes_calls: true,
        partial_weight,
    }
}

fn decider(cancellation: Cancellation) -> Decider {
    let machine = Machine {
        cores: 2,
        memory_kb: 100.0,
        running_memory_factor: 4.0,
        key_memory_kb: 1.0,
        cancellation,
        max_concurrency_per_core: 5.0,
        starts_cold: false,
        cold_speed: 0.25,
        warm_up: Duration::from_millis(1_000),
    };
    let handlers = [
        handler(RetrySafety::Idempotent, 0.5),
        handler(RetrySafety::Keyed, 0.0),
        handler(RetrySafety::NonIdempotent, 0.0),
    ];
    let position = FleetPosition {
        servers: 3,
        tier: 0,
        weight_by_work: false,
        over_quota_weight: 0.05,
    };
    let rules = Rules {
        drain_grace: Duration::from_millis(200),
        requests_carry_timeout: true,
    };
    let upstream = Upstream {
        quota: 4.0,
        averaging_window: Duration::from_millis(5_000),
        ..Upstream::default()
    };
    let start = Timestamp::from_micros(0);
    Decider::builder(start, 7, &machine, &handlers, &position, &rules)
        .upstream(&upstream)
        .build()
}

/// A decision module that handles a history of events, and its clock.
struct History {
    decider: Decider,
    now: Timestamp,
    arrivals: u64,
}

impl History {
    fn play(&mut self, event: Event) {
        let now = self.now;
        let out = &mut ActionCounter::default();
        match event {
            Event::Arrival { handler, retry_of } => self.arrive(handler, retry_of, out),
            Event::ClientGone(id) => self.decider.on_client_gone(now, id, out),
            Event::CallNeeded(id) => self.decider.on_call_needed(now, id, out),
            Event::CallFinished(id, outcome) => {
                let spent = Duration::from_millis(20);
                self.decider.on_call_finished(now, id, outcome, spent, out);
            }
            Event::RunEnded(id, outcome) => {
                let spent = Duration::from_millis(20);
                self.decider.on_run_ended(now, id, outcome, spent);
            }
            Event::Tick => {
                let gauges = Gauges {
                    run_queue: Some(0.0),
                };
                self.decider.on_tick(now, &gauges, out);
            }
            Event::Drain => self.decider.drain(now, Duration::from_millis(500)),
            Event::Wait(millis) => self.now = now + Duration::from_millis(millis),
            Event::JumpTo(millis) => self.now = Timestamp::from_micros(millis * 1_000),
            Event::JumpToEnd => self.now = Timestamp::from_micros(u64::MAX),
        }
        self.decider.settle(self.now, &mut ActionCounter::default());
    }

    fn arrive(&mut self, handler: usize, retry_of: u64, out: &mut ActionCounter) {
        if self.arrivals == MAX_REQUESTS {
            return;
        }
        self.arrivals += 1;
        let arrival = Arrival {
            id: self.arrivals,
            handler: HandlerId::new(handler),
            timeout: Duration::from_millis(1_000),
            memory_kb: 1.0,
            retry_of,
            ..Arrival::default()
        };
        self.decider.on_arrival(self.now, &arrival, out);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a batch that never completes. After a jump of the clock since the last tick, the repeated check of
    /// a run that should have ended was due at a time that had already passed, and so repeated without end.
    #[test]
    fn every_batch_terminates_whatever_the_clock(
        is_cancellable in any::<bool>(),
        events in proptest::collection::vec(any_event(), 1..80),
    ) {
        let cancellation = if is_cancellable {
            Cancellation::Discards
        } else {
            Cancellation::Unsupported
        };
        let mut history = History {
            decider: decider(cancellation),
            now: Timestamp::from_micros(0),
            arrivals: 0,
        };
        for event in events {
            history.play(event);
        }
    }
}
