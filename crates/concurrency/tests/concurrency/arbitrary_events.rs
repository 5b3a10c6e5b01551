//! Property tests of the limiter: invariants that hold after arbitrary events.

use crate::support::{QUOTE, at, limiter, property_test_config, reserve, three_pools};
use madderbay::interface::HandlerId;
use madderbay_concurrency::limit::Completion;
use madderbay_concurrency::{ConcurrencyConfig, ConcurrencyLimiter, RequestStage};
use proptest::prelude::*;

const STAGES: [RequestStage; 4] = [
    RequestStage::Queued,
    RequestStage::Running,
    RequestStage::AwaitingCall,
    RequestStage::Calling,
];
const COMPLETIONS: [Completion; 4] = [
    Completion::Success,
    Completion::Failure,
    Completion::TimedOut,
    Completion::Cancelled,
];
const WORKERS: usize = 8;

#[derive(Clone, Debug)]
enum Event {
    SetStage {
        id: u64,
        handler: HandlerId,
        stage: RequestStage,
    },
    CallFinished {
        id: u64,
        completion: Completion,
    },
    CallSkipped {
        id: u64,
    },
    RequestFinished {
        id: u64,
    },
    Advance {
        by_ms: i64,
    },
}

fn event() -> impl Strategy<Value = Event> {
    let id = || 0u64..12;
    prop_oneof![
        6 => (id(), 0u8..3, 0u8..4).prop_map(|(id, handler, stage)| {
            let (handler, stage) = (HandlerId::new(handler.into()), STAGES[usize::from(stage)]);
            Event::SetStage { id, handler, stage }
        }),
        2 => (id(), 0u8..4).prop_map(|(id, completion)| {
            Event::CallFinished { id, completion: COMPLETIONS[usize::from(completion)] }
        }),
        1 => id().prop_map(|id| Event::CallSkipped { id }),
        3 => id().prop_map(|id| Event::RequestFinished { id }),
        3 => (-500i64..1_500).prop_map(|by_ms| Event::Advance { by_ms }),
    ]
}

/// Applies an event; returns the time after it, in ms.
fn apply(limiter: &mut ConcurrencyLimiter, ms: i64, event: Event) -> i64 {
    let now = at(ms as u64);
    match event {
        Event::SetStage { id, handler, stage } => limiter.set_stage(now, id, handler, stage),
        Event::CallFinished { id, completion } => limiter.call_finished(now, id, completion),
        Event::CallSkipped { id } => limiter.call_skipped(now, id),
        Event::RequestFinished { id } => limiter.request_finished(now, id),
        Event::Advance { by_ms } => return (ms + by_ms).max(0),
    }
    ms
}

proptest! {
    #![proptest_config(property_test_config(256))]

    /// After events in any order and at any time, the counters agree with the known requests, and
    /// nothing is in flight once all requests have finished.
    #[test]
    fn counters_agree_with_requests(events in prop::collection::vec(event(), 1..300)) {
        let mut limiter = limiter(ConcurrencyConfig {
            pools: three_pools([1.0, 0.0, 2.0]),
            reserve: reserve(&[], 0.3),
            ..ConcurrencyConfig::default()
        });
        let mut ms = 10_000i64;
        for event in events {
            ms = apply(&mut limiter, ms, event);
            let all = limiter.ceilings(at(ms as u64), WORKERS as f64).to_vec();
            for (ceiling, usage) in all[1..4].iter().zip(limiter.pool_usage()) {
                // A ceiling on calls exceeds the quota by at most two, while calls hang; it is 0
                // for a handler that makes no calls.
                let max_calls = if ceiling.handlers == [QUOTE] { 0 } else { 10 };
                prop_assert!(ceiling.calls <= max_calls);
                // Beyond its runs in flight, a pool may not start more runs than there are workers.
                prop_assert!(ceiling.runs <= usage.runs + WORKERS);
            }
            let counted: usize = limiter.pool_usage().map(|u| u.queued + u.runs).sum();
            prop_assert_eq!(counted, limiter.len());
        }
        (0..12).for_each(|id| limiter.request_finished(at(ms as u64), id));
        prop_assert!(limiter.is_empty());
        prop_assert_eq!(limiter.call_usage().map(|calls| calls.in_flight), Some(0));
    }
}
