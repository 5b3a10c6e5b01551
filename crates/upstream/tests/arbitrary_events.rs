//! Property test with attempts, outcomes, gossip, peers and configurations in any order. There is no panic, tables stay
//! within their bounds, and each call gets a backend if its handler has any.

mod common;

use madderbay::interface::HandlerId;
use madderbay::time::{Duration, Timestamp};
use madderbay_membership::MAX_SUBSYSTEM_PAYLOAD_BYTES;
use madderbay_upstream::{
    AttemptOutcome, BackendSettings, BackendState, BackendStatus, FailedCall, Settings,
    UpstreamAttempt, UpstreamManager,
};
use proptest::prelude::*;

/// Upper bound on the events that wait to be taken.
const MAX_PENDING_EVENTS: usize = 64;
/// Number of handlers that calls are made for. The last of them has no backends.
const HANDLERS: usize = 3;

const OUTCOMES: [AttemptOutcome; 8] = [
    AttemptOutcome::Success,
    AttemptOutcome::Rejected,
    AttemptOutcome::NotConnected,
    AttemptOutcome::Failed,
    AttemptOutcome::Disconnected,
    AttemptOutcome::TimedOut,
    AttemptOutcome::LostToHedge,
    AttemptOutcome::Cancelled,
];

/// The kind of a further attempt of a call.
#[derive(Clone, Copy, PartialEq, Eq)]
enum FurtherAttempt {
    RetryAtOnce,
    Hedge,
    RetryAfterBackoff,
}

const FURTHER_ATTEMPTS: [FurtherAttempt; 3] = [
    FurtherAttempt::RetryAtOnce,
    FurtherAttempt::Hedge,
    FurtherAttempt::RetryAfterBackoff,
];
/// Time that a call has left for a further attempt. It is longer than any call can take in this test.
const TIME_LEFT: Duration = Duration::from_millis(3_600_000);

fn zone(n: usize) -> &'static str {
    ["north", "south"][n % 2]
}

/// Returns a backend. Those with even numbers serve handler 0, the others handler 1.
fn backend(n: usize) -> BackendSettings {
    BackendSettings {
        zone: zone(n).into(),
        weight: 1.0 + n as f64,
        handlers: vec![HandlerId::new(n % 2)],
        ..common::backend(n)
    }
}

fn handler_of(status: &BackendStatus) -> HandlerId {
    let number: usize = status.name[1..].parse().unwrap_or(0);
    HandlerId::new(number % 2)
}

/// One step of a scenario: an action, a number that selects its parameters, and a payload that only gossip uses.
#[derive(Clone, Debug)]
struct Step {
    action: u8,
    number: usize,
    payload: Vec<u8>,
}

fn any_step() -> impl Strategy<Value = Step> {
    let payload = proptest::collection::vec(any::<u8>(), 0..60);
    (0u8..9, any::<u16>(), payload).prop_map(|(action, number, payload)| Step {
        action,
        number: usize::from(number),
        payload,
    })
}

/// A manager and its attempts in flight.
struct Scenario {
    now: Timestamp,
    settings: Settings,
    upstream: UpstreamManager,
    in_flight: Vec<UpstreamAttempt>,
}

impl Scenario {
    fn new() -> Scenario {
        let now = Timestamp::from_micros(5_000_000);
        let settings = Settings {
            zone: "north".into(),
            ..Settings::default()
        };
        let backends = (0..6).map(backend).collect();
        Scenario {
            now,
            upstream: UpstreamManager::new(now, 3, settings.clone(), backends),
            settings,
            in_flight: vec![],
        }
    }

    fn run(&mut self, step: &Step) -> Result<(), TestCaseError> {
        let n = step.number;
        self.now = self.now + Duration::from_micros(n as u64 * 7);
        match step.action {
            0..3 => self.pick(n)?,
            3 if !self.in_flight.is_empty() => self.retry(n)?,
            4 if !self.in_flight.is_empty() => self.finish(n),
            5 => self.receive(n, &step.payload),
            6 => self.update_peer(n),
            7 => self
                .upstream
                .remove_peer(&format!("n{}", n % 200).as_str().into()),
            8 if n.is_multiple_of(5) => self.reload(n),
            _ => self.upstream.handle_timeout(self.now),
        }
        self.check()
    }

    fn pick(&mut self, n: usize) -> Result<(), TestCaseError> {
        let handler = HandlerId::new(n % HANDLERS);
        let picked = self.upstream.pick(self.now, handler);
        let has_backends = handler.index() < 2 && self.upstream.has_backends(handler);
        prop_assert_eq!(picked.is_some(), has_backends);
        self.in_flight.extend(picked);
        Ok(())
    }

    fn retry(&mut self, n: usize) -> Result<(), TestCaseError> {
        let previous = self.in_flight[n % self.in_flight.len()].clone();
        let kind = FURTHER_ATTEMPTS[n % FURTHER_ATTEMPTS.len()];
        if let Some(attempt) = self.begin_further_attempt(&previous, kind) {
            let goes_elsewhere = attempt.backend != previous.backend;
            prop_assert!(goes_elsewhere || kind == FurtherAttempt::RetryAfterBackoff);
            self.in_flight.push(attempt);
        }
        Ok(())
    }

    fn begin_further_attempt(
        &mut self,
        previous: &UpstreamAttempt,
        kind: FurtherAttempt,
    ) -> Option<UpstreamAttempt> {
        let upstream = &mut self.upstream;
        match kind {
            FurtherAttempt::RetryAtOnce => {
                let call = FailedCall {
                    outcome: AttemptOutcome::Rejected,
                    is_idempotent: true,
                    time_left: TIME_LEFT,
                };
                upstream.retry(self.now, previous, call).ok()
            }
            FurtherAttempt::Hedge => upstream.hedge(self.now, previous, TIME_LEFT).ok(),
            FurtherAttempt::RetryAfterBackoff => {
                upstream.retry_after_backoff(self.now, previous).ok()
            }
        }
    }

    fn finish(&mut self, n: usize) {
        let attempt = self.in_flight.swap_remove(n % self.in_flight.len());
        let outcome = OUTCOMES[n % OUTCOMES.len()];
        self.upstream.finish(self.now, &attempt, outcome);
    }

    fn receive(&mut self, n: usize, payload: &[u8]) {
        let from = format!("n{}", n % 5).as_str().into();
        self.upstream.handle_datagram(self.now, &from, payload);
    }

    fn update_peer(&mut self, n: usize) {
        let name = format!("n{}", n % 200).as_str().into();
        let incarnation = n as u64 % 3;
        let active = n.is_multiple_of(3);
        self.upstream
            .update_peer(&name, incarnation, &zone(n).into(), active);
    }

    /// Reloads with the backends whose bit is set in the number.
    fn reload(&mut self, n: usize) {
        let listed = (0..10)
            .filter(|bit| n >> bit & 1 == 1)
            .map(backend)
            .collect();
        self.upstream
            .reload(self.now, self.settings.clone(), listed);
    }

    fn check(&mut self) -> Result<(), TestCaseError> {
        for (_, payload) in self.upstream.take_datagrams() {
            prop_assert!(payload.len() <= MAX_SUBSYSTEM_PAYLOAD_BYTES);
        }
        prop_assert!(self.upstream.take_events().len() <= MAX_PENDING_EVENTS);
        let statuses = self.upstream.backend_statuses(self.now);
        for (handlers, backends) in self.upstream.groups() {
            let out_of_selection = statuses.iter().filter(|status| {
                let is_out_of_selection =
                    matches!(status.state, BackendState::Ejected | BackendState::Probing);
                is_out_of_selection && handlers.contains(&handler_of(status))
            });
            let some_are_left = out_of_selection.count() < backends;
            prop_assert!(backends < 2 || some_are_left, "all ejected: {statuses:?}");
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn bounds_hold_for_any_order_of_events(
        steps in proptest::collection::vec(any_step(), 1..400)
    ) {
        let mut scenario = Scenario::new();
        for step in &steps {
            scenario.run(step)?;
        }
    }
}
