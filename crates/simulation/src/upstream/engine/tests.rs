use super::*;

const CORES: f64 = 2.0;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(ms * 1_000)
}

/// Returns the requests whose runs finish by `now`.
fn finished_by(engine: &mut Engine, now: Timestamp) -> Vec<String> {
    let events = engine.advance(now).into_iter();
    events
        .filter_map(|event| match event {
            EngineEvent::Finished { request, .. } => Some(request),
            EngineEvent::NeedsCall { .. } => None,
        })
        .collect()
}

#[test]
fn runs_share_the_cores_evenly() {
    let mut engine = Engine::new(at(0), CORES);
    for request in ["a", "b", "c", "d"] {
        engine.start(at(0), request, 0.010, false);
    }
    assert_eq!(finished_by(&mut engine, at(19)), [""; 0]);
    assert_eq!(finished_by(&mut engine, at(20)), ["a", "b", "c", "d"]);
}

#[test]
fn one_run_uses_one_core_and_a_slow_engine_takes_longer() {
    let mut engine = Engine::new(at(0), CORES);
    engine.set_slowdown(3.0);
    engine.start(at(0), "a", 0.010, false);
    assert_eq!(finished_by(&mut engine, at(29)), [""; 0]);
    assert_eq!(finished_by(&mut engine, at(30)), ["a"]);
}

#[test]
fn a_run_pauses_halfway_for_its_call_and_frees_its_core() {
    let mut engine = Engine::new(at(0), CORES);
    engine.start(at(0), "a", 0.010, true);
    let events = engine.advance(at(5));
    assert!(matches!(&events[..], [EngineEvent::NeedsCall { request }] if request == "a"));
    assert_eq!(engine.runs_on_cores(), 0);
    assert_eq!(engine.next_deadline(), None);
    engine.resume("a");
    assert_eq!(finished_by(&mut engine, at(105)), ["a"]);
}

#[test]
fn cancelling_a_run_removes_it() {
    let mut engine = Engine::new(at(0), CORES);
    engine.start(at(3), "a", 0.010, false);
    assert_eq!(engine.cancel("a"), Some(at(3)));
    assert_eq!(engine.cancel("a"), None);
}
