//! Retries and hedges of `UpstreamManager`: each further attempt that is allowed, and each reason for a refusal. The
//! tests also check that a refusal does not change what it should leave untouched.

mod common;

use common::{HANDLER, backend};
use madderbay::time::{Duration, Timestamp};
use madderbay_upstream::{
    AttemptOutcome, FailedCall, HedgeCandidate, HedgeRefusal, RetryRefusal, Settings,
    UpstreamAttempt, UpstreamManager,
};

const CALL_LATENCY: Duration = Duration::from_millis(20);
const SECOND: Duration = Duration::from_millis(1_000);
/// Number of calls after which latencies are known and the retry budget has tokens.
const WARM_UP_CALLS: u64 = 200;

/// The manager's counters of further attempts.
#[derive(Debug, PartialEq)]
struct FurtherAttempts {
    /// Retries and hedges together.
    retries: u64,
    hedges: u64,
    /// Further attempts that the budget did not allow.
    over_budget: u64,
}

impl FurtherAttempts {
    const NONE: FurtherAttempts = FurtherAttempts {
        retries: 0,
        hedges: 0,
        over_budget: 0,
    };

    /// Returns the counters for a number of retries, none of which is a hedge.
    fn retries(retries: u64) -> FurtherAttempts {
        FurtherAttempts {
            retries,
            ..FurtherAttempts::NONE
        }
    }
}

/// A manager of some backends, and the current time.
struct Scenario {
    now: Timestamp,
    settings: Settings,
    upstream: UpstreamManager,
}

impl Scenario {
    fn new(backends: usize, settings: Settings) -> Scenario {
        let now = Timestamp::from_micros(5_000_000);
        let backends = (0..backends).map(backend).collect();
        Scenario {
            now,
            upstream: UpstreamManager::new(now, 3, settings.clone(), backends),
            settings,
        }
    }

    /// Creates a scenario in which [`WARM_UP_CALLS`] calls have succeeded.
    fn warmed_up(backends: usize, settings: Settings) -> Scenario {
        let mut scenario = Scenario::new(backends, settings);
        for _ in 0..WARM_UP_CALLS {
            let attempt = scenario.pick();
            scenario.now = scenario.now + CALL_LATENCY;
            scenario.finish(&attempt, AttemptOutcome::Success);
            scenario.upstream.handle_timeout(scenario.now);
        }
        scenario
    }

    /// Creates a scenario with four backends after the warm-up, and begins the first attempt of one more call.
    fn with_first_attempt() -> (Scenario, UpstreamAttempt) {
        let mut scenario = Scenario::warmed_up(4, Settings::default());
        let first = scenario.pick();
        (scenario, first)
    }

    fn pick(&mut self) -> UpstreamAttempt {
        self.upstream.pick(self.now, HANDLER).expect("a backend")
    }

    fn finish(&mut self, attempt: &UpstreamAttempt, outcome: AttemptOutcome) {
        self.upstream.finish(self.now, attempt, outcome);
    }

    fn retry(
        &mut self,
        previous: &UpstreamAttempt,
        call: FailedCall,
    ) -> Result<UpstreamAttempt, RetryRefusal> {
        self.upstream.retry(self.now, previous, call)
    }

    fn hedge(
        &mut self,
        first: &UpstreamAttempt,
        time_left: Duration,
    ) -> Result<UpstreamAttempt, HedgeRefusal> {
        self.upstream.hedge(self.now, first, time_left)
    }

    fn hedge_delay(&mut self, call: HedgeCandidate) -> Result<Duration, HedgeRefusal> {
        let first = self.pick();
        let delay = self.upstream.hedge_delay(self.now, &first, call);
        self.finish(&first, AttemptOutcome::Cancelled);
        delay
    }

    fn further_attempts(&self) -> FurtherAttempts {
        let totals = self.upstream.totals();
        FurtherAttempts {
            retries: totals.retries,
            hedges: totals.hedges,
            over_budget: totals.retries_over_budget,
        }
    }
}

/// A call that was rejected and may be retried.
const REJECTED: FailedCall = FailedCall {
    outcome: AttemptOutcome::Rejected,
    is_idempotent: false,
    time_left: SECOND,
};
const IDEMPOTENT: HedgeCandidate = HedgeCandidate {
    is_idempotent: true,
    is_under_quota: false,
    timeout: SECOND,
};

#[test]
fn retry_goes_to_another_backend_and_spends_one_retry() {
    let (mut scenario, first) = Scenario::with_first_attempt();
    let retry = scenario.retry(&first, REJECTED).expect("a retry");
    assert_ne!(retry.backend, first.backend);
    assert_eq!(scenario.further_attempts(), FurtherAttempts::retries(1));
}

#[test]
fn call_that_may_have_run_is_not_retried_and_spends_nothing() {
    let (mut scenario, first) = Scenario::with_first_attempt();
    let call = FailedCall {
        outcome: AttemptOutcome::Failed,
        ..REJECTED
    };
    assert_eq!(scenario.retry(&first, call), Err(RetryRefusal::MayHaveRun));
    assert_eq!(scenario.further_attempts(), FurtherAttempts::NONE);
}

#[test]
fn retry_needs_more_time_than_a_call_typically_takes() {
    let (mut scenario, first) = Scenario::with_first_attempt();
    let late = FailedCall {
        time_left: CALL_LATENCY.mul_f64(0.9),
        ..REJECTED
    };
    assert_eq!(scenario.retry(&first, late), Err(RetryRefusal::NoTimeLeft));
    let in_time = FailedCall {
        time_left: CALL_LATENCY.mul_f64(1.1),
        ..REJECTED
    };
    assert!(scenario.retry(&first, in_time).is_ok());
}

#[test]
fn single_backend_is_retried_only_after_a_backoff() {
    let mut scenario = Scenario::warmed_up(1, Settings::default());
    let first = scenario.pick();
    assert_eq!(
        scenario.retry(&first, REJECTED),
        Err(RetryRefusal::NoOtherBackend)
    );
    assert_eq!(scenario.further_attempts(), FurtherAttempts::NONE);
    let retry = scenario.upstream.retry_after_backoff(scenario.now, &first);
    assert_eq!(retry.expect("a retry").backend, first.backend);
    assert_eq!(scenario.further_attempts(), FurtherAttempts::retries(1));
}

#[test]
fn retries_stop_when_the_budget_is_spent() {
    let (mut scenario, first) = Scenario::with_first_attempt();
    let mut allowed = 0;
    while scenario.retry(&first, REJECTED).is_ok() {
        allowed += 1;
    }
    assert!(allowed > 0);
    assert_eq!(
        scenario.further_attempts(),
        FurtherAttempts {
            over_budget: 1,
            ..FurtherAttempts::retries(allowed)
        }
    );
    let after_backoff = scenario.upstream.retry_after_backoff(scenario.now, &first);
    assert_eq!(after_backoff, Err(RetryRefusal::BudgetSpent));
    let hedge = scenario.hedge(&first, SECOND);
    assert_eq!(
        hedge,
        Err(HedgeRefusal::NoAttempt(RetryRefusal::BudgetSpent))
    );
    assert_eq!(
        scenario.further_attempts(),
        FurtherAttempts {
            over_budget: 3,
            ..FurtherAttempts::retries(allowed)
        }
    );
}

#[test]
fn call_whose_backends_were_removed_gets_no_further_attempt() {
    let (mut scenario, first) = Scenario::with_first_attempt();
    let settings = scenario.settings.clone();
    scenario.upstream.reload(scenario.now, settings, vec![]);
    assert_eq!(
        scenario.retry(&first, REJECTED),
        Err(RetryRefusal::NoBackends)
    );
    let after_backoff = scenario.upstream.retry_after_backoff(scenario.now, &first);
    assert_eq!(after_backoff, Err(RetryRefusal::NoBackends));
    let hedge = scenario.hedge(&first, SECOND);
    assert_eq!(
        hedge,
        Err(HedgeRefusal::NoAttempt(RetryRefusal::NoBackends))
    );
}

#[test]
fn hedge_goes_to_another_backend_and_counts_as_a_retry() {
    let mut scenario = Scenario::warmed_up(4, Settings::default());
    let delay = scenario.hedge_delay(IDEMPOTENT).expect("a hedge");
    assert!(delay >= CALL_LATENCY, "{delay:?}");
    let first = scenario.pick();
    let hedge = scenario.hedge(&first, SECOND).expect("a hedge");
    assert_ne!(hedge.backend, first.backend);
    assert_eq!(
        scenario.further_attempts(),
        FurtherAttempts {
            retries: 1,
            hedges: 1,
            ..FurtherAttempts::NONE
        }
    );
}

#[test]
fn hedge_without_enough_time_is_refused_when_it_is_due() {
    let (mut scenario, first) = Scenario::with_first_attempt();
    let late = CALL_LATENCY.mul_f64(0.9);
    assert_eq!(
        scenario.hedge(&first, late),
        Err(HedgeRefusal::NoAttempt(RetryRefusal::NoTimeLeft))
    );
    assert_eq!(scenario.further_attempts(), FurtherAttempts::NONE);
}

#[test]
fn hedge_is_refused_for_each_disqualifying_property_of_the_call() {
    let mut scenario = Scenario::warmed_up(4, Settings::default());
    let under_quota = HedgeCandidate {
        is_under_quota: true,
        ..IDEMPOTENT
    };
    let not_idempotent = HedgeCandidate {
        is_idempotent: false,
        ..IDEMPOTENT
    };
    let short = HedgeCandidate {
        timeout: CALL_LATENCY.mul_f64(0.5),
        ..IDEMPOTENT
    };
    for (call, refusal) in [
        (under_quota, HedgeRefusal::UnderQuota),
        (not_idempotent, HedgeRefusal::NotIdempotent),
        (short, HedgeRefusal::DueAfterTimeout),
    ] {
        assert_eq!(scenario.hedge_delay(call), Err(refusal));
    }
}

#[test]
fn hedging_can_be_disabled_by_the_operator() {
    let settings = Settings {
        hedging: false,
        ..Settings::default()
    };
    let mut scenario = Scenario::warmed_up(4, settings);
    assert_eq!(
        scenario.hedge_delay(IDEMPOTENT),
        Err(HedgeRefusal::Disabled)
    );
    let first = scenario.pick();
    assert_eq!(scenario.hedge(&first, SECOND), Err(HedgeRefusal::Disabled));
    assert!(scenario.retry(&first, REJECTED).is_ok());
    assert_eq!(scenario.further_attempts(), FurtherAttempts::retries(1));
}

#[test]
fn hedges_need_another_backend_and_known_latencies() {
    let mut alone = Scenario::warmed_up(1, Settings::default());
    assert_eq!(
        alone.hedge_delay(IDEMPOTENT),
        Err(HedgeRefusal::NoAttempt(RetryRefusal::NoOtherBackend))
    );
    let mut new = Scenario::new(4, Settings::default());
    assert_eq!(
        new.hedge_delay(IDEMPOTENT),
        Err(HedgeRefusal::LatencyUnknown)
    );
}
