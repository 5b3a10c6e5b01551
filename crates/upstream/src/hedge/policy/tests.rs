use super::*;

const ENABLED: HedgePolicy = HedgePolicy { is_enabled: true };
const DISABLED: HedgePolicy = HedgePolicy { is_enabled: false };
const SECOND: Duration = Duration::from_millis(1_000);

fn candidate(is_idempotent: bool, is_under_quota: bool) -> HedgeCandidate {
    HedgeCandidate {
        is_idempotent,
        is_under_quota,
        timeout: SECOND,
    }
}

#[test]
fn hedges_idempotent_calls_without_a_quota() {
    assert_eq!(ENABLED.check_call(candidate(true, false)), Ok(()));
}

#[test]
fn refuses_a_hedge_for_each_reason() {
    let under_quota = ENABLED.check_call(candidate(true, true));
    assert_eq!(under_quota, Err(HedgeRefusal::UnderQuota));
    let not_idempotent = ENABLED.check_call(candidate(false, false));
    assert_eq!(not_idempotent, Err(HedgeRefusal::NotIdempotent));
    let disabled = DISABLED.check_call(candidate(true, false));
    assert_eq!(disabled, Err(HedgeRefusal::Disabled));
}

#[test]
fn hedge_is_due_after_the_estimate_and_before_the_timeout() {
    let short = Duration::from_millis(30);
    assert_eq!(hedge_delay(Some(short), SECOND), Ok(short));
    assert_eq!(hedge_delay(None, SECOND), Err(HedgeRefusal::LatencyUnknown));
    let at_timeout = hedge_delay(Some(SECOND), SECOND);
    assert_eq!(at_timeout, Err(HedgeRefusal::DueAfterTimeout));
}
