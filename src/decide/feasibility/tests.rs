use super::{PlannedRequest, ServerLoad, infeasible_requests};
use crate::ceilings::CeilingTable;
use crate::interface::{Ceiling, HandlerId};
use crate::slots::RequestSlot;
use crate::time::{Duration, Timestamp};
use slotmap::SlotMap;

const NOW: Timestamp = Timestamp::from_micros(10_000_000);
const FIRST: HandlerId = HandlerId::new(0);
const SECOND: HandlerId = HandlerId::new(1);

/// Creates requests for a tentative schedule, each with a slot of its own.
#[derive(Default)]
struct Requests {
    slots: SlotMap<RequestSlot, ()>,
}

impl Requests {
    /// Creates a request of weight 1 with an expected run time of 1 s.
    fn request(&mut self, handler: HandlerId, objective_secs: f64) -> PlannedRequest {
        PlannedRequest {
            slot: self.slots.insert(()),
            handler,
            objective: NOW + Duration::from_secs_f64(objective_secs),
            weight: 1.0,
            run_secs: 1.0,
        }
    }
}

/// Returns the load of a busy server that runs one request at a time and has no remaining run time to wait for.
fn busy() -> ServerLoad {
    ServerLoad {
        now: NOW,
        remaining_run_secs: 0.0,
        concurrency_limit: 1.0,
        is_idle: false,
    }
}

fn infeasible(load: ServerLoad, queue: &[PlannedRequest]) -> Vec<RequestSlot> {
    infeasible_requests(load, queue.iter().copied(), &CeilingTable::default())
}

#[test]
fn keeps_requests_that_can_all_meet_their_objectives() {
    let mut requests = Requests::default();
    let queue = [1.0, 2.0, 3.0].map(|secs| requests.request(FIRST, secs));
    assert!(infeasible(busy(), &queue).is_empty());
}

#[test]
fn rejects_lowest_weight_among_requests_up_to_the_late_one() {
    let mut requests = Requests::default();
    let light = PlannedRequest {
        weight: 0.5,
        ..requests.request(FIRST, 2.0)
    };
    let queue = [
        requests.request(FIRST, 1.5),
        light,
        requests.request(FIRST, 2.5),
    ];
    assert_eq!(infeasible(busy(), &queue), [light.slot]);
}

#[test]
fn rejects_longest_run_among_equal_weights() {
    let mut requests = Requests::default();
    let long = PlannedRequest {
        run_secs: 2.0,
        ..requests.request(FIRST, 2.5)
    };
    let queue = [long, requests.request(FIRST, 2.9)];
    assert_eq!(infeasible(busy(), &queue), [long.slot]);
}

#[test]
fn idle_server_keeps_its_only_request_until_its_objective() {
    let idle = ServerLoad {
        is_idle: true,
        ..busy()
    };
    let mut requests = Requests::default();
    let not_yet_late = requests.request(FIRST, 0.5);
    assert!(infeasible(idle, &[not_yet_late]).is_empty());
    assert_eq!(infeasible(busy(), &[not_yet_late]), [not_yet_late.slot]);
    let late = requests.request(FIRST, 0.0);
    assert_eq!(infeasible(idle, &[late]), [late.slot]);
}

#[test]
fn start_interval_of_a_group_rejects_only_requests_of_that_group() {
    let mut ceilings = CeilingTable::default();
    ceilings.replace(&[Ceiling {
        handlers: vec![SECOND],
        runs: 1,
        calls: 1,
        start_interval: Duration::from_millis(10_000),
    }]);
    let mut requests = Requests::default();
    let lightest_of_others = PlannedRequest {
        weight: 0.1,
        ..requests.request(FIRST, 5.0)
    };
    let delayed = requests.request(SECOND, 9.0);
    let queue = [lightest_of_others, delayed];
    let rejected = infeasible_requests(busy(), queue.into_iter(), &ceilings);
    assert_eq!(rejected, [delayed.slot]);
}
