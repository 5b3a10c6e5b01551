//! Tests of the order in which deferred events are processed.

use super::*;

#[test]
fn pops_ended_requests_then_calls_then_runs() {
    let mut events = DeferredEvents::default();
    events.run_not_sent(1);
    events.call_not_made(2);
    events.ended(3, Outcome::Failed);
    events.call_not_made(4);
    let in_order = std::iter::from_fn(|| events.pop());
    assert_eq!(
        in_order.collect::<Vec<_>>(),
        [
            DeferredEvent::Ended {
                request: 3,
                outcome: Outcome::Failed
            },
            DeferredEvent::CallNotMade { request: 2 },
            DeferredEvent::CallNotMade { request: 4 },
            DeferredEvent::RunNotSent { request: 1 },
        ]
    );
}
