//! The cases. Each is one play of a small fleet under a shared quota of upstream calls.

use crate::Verdict;
use crate::engine::Work;
use crate::record::Record;
use crate::world::{Budget, Plan, World};
use std::sync::Arc;

/// A server is restarted with a shorter `lease_ms`, while another has leased its units.
pub fn restart_with_shorter_lease(record: &Arc<Record>, trouble: bool) -> Verdict {
    let before = Budget { calls: 4, servers: 2, lease_ms: 5_000, longest_ms: 2_000 };
    let mut world = World::new(record, Plan::quota(2, before, 1_500));
    if let Err(verdict) = world.start() {
        return verdict;
    }
    // Both servers wait for lease_ms and longest_ms after their start.
    world.load(1, 12);
    if !world.wait_in_flight(4, 20_000) {
        return Verdict::NotRun("n2 has leased nothing".into());
    }
    world.sleep(2_000);
    if trouble {
        world.write_operator(0, Budget { lease_ms: 500, ..before });
    }
    world.nodes[0].server.signal("TERM");
    if !world.nodes[0].server.wait_end(4_000) {
        return Verdict::NotRun("n1 does not stop".into());
    }
    world.nodes[0].engine.restart();
    world.nodes[0].server.start();
    if !world.nodes[0].server.wait_ready() {
        return Verdict::NotRun("n1 is not ready again".into());
    }
    world.load(0, 12);
    world.sleep(12_000);
    world.judge_calls(before.calls)
}

/// Two of four servers are stopped, and the operator files of the others are read again with `servers = 2`.
pub fn reload_with_fewer_servers(record: &Arc<Record>, trouble: bool) -> Verdict {
    let before = Budget { calls: 8, servers: 4, lease_ms: 1_000, longest_ms: 2_000 };
    let mut world = World::new(record, Plan::quota(4, before, 1_500));
    if let Err(verdict) = world.start() {
        return verdict;
    }
    world.load(0, 16);
    if !world.wait_in_flight(8, 15_000) {
        return Verdict::NotRun("n1 has not leased all units".into());
    }
    world.sleep(2_000);
    for stopped in [2, 3] {
        world.nodes[stopped].server.signal("TERM");
    }
    for stopped in [2, 3] {
        if !world.nodes[stopped].server.wait_end(4_000) {
            return Verdict::NotRun("a server does not stop".into());
        }
    }
    world.sleep(300);
    if trouble {
        for left in [0, 1] {
            world.write_operator(left, Budget { servers: 2, ..before });
            world.nodes[left].server.signal("HUP");
        }
    }
    world.load(1, 16);
    world.sleep(8_000);
    world.judge_calls(before.calls)
}

/// A new configuration moves the catalogue; the platform closes the old connections after 1.5 s, with calls
/// on them.
pub fn calls_on_closed_connections(record: &Arc<Record>, trouble: bool) -> Verdict {
    let budget = Budget { calls: 4, servers: 1, lease_ms: 1_000, longest_ms: 4_000 };
    let mut world = World::new(record, Plan::quota(1, budget, 3_000));
    if let Err(verdict) = world.start() {
        return verdict;
    }
    world.load(0, 12);
    if !world.wait_in_flight(4, 15_000) {
        return Verdict::NotRun("n1 does not make its calls".into());
    }
    for _ in 0..3 {
        // The next calls begin: they are in flight for longer than the old connections stay open.
        let made = world.catalogue.fetched().len();
        while world.catalogue.fetched().len() < made + 4 {
            world.sleep(5);
        }
        world.sleep(200);
        let old = world.nodes[0].platform.catalogue;
        if trouble {
            let name = world.nodes[0].server.name.clone();
            world.nodes[0].platform.catalogue = world.catalogue.address_for(&name);
            world.nodes[0].server.write_config(&world.nodes[0].platform);
            world.nodes[0].server.signal("HUP");
            world.catalogue.close_address(old);
            world.sleep(1_600);
        }
    }
    world.sleep(3_000);
    world.judge_calls(budget.calls)
}

/// A server that has leased units stops for a while and goes on, with calls in flight.
pub fn paused_lessee(record: &Arc<Record>, trouble: bool) -> Verdict {
    let budget = Budget { calls: 4, servers: 2, lease_ms: 1_000, longest_ms: 2_000 };
    let mut world = World::new(record, Plan::quota(2, budget, 10_000));
    if let Err(verdict) = world.start() {
        return verdict;
    }
    world.load(1, 12);
    if !world.wait_in_flight(4, 20_000) {
        return Verdict::NotRun("n2 has leased nothing".into());
    }
    world.sleep(300);
    if trouble {
        world.nodes[1].server.signal("STOP");
    }
    world.load(0, 12);
    world.sleep(6_000);
    if trouble {
        world.nodes[1].server.signal("CONT");
    }
    world.sleep(4_000);
    world.judge_calls(budget.calls)
}

/// Settings like those of the deployment whose machines stand still for 200 to 500 ms.
const STOCK_SETTINGS: &str = r#"{
  "classes": [
   {"name": "lot-lookup", "aim_us": 1800000, "hard_limit_us": 4500000, "importance": 1.0, "effect": "read_like"}],
  "tenants": [{"name": "acme", "allowance_per_s": 5000.0}],
  "family_info": {"n_cores": 4, "memory_kb": 10000.0, "blowup": 4.0, "preemption": "none",
   "below": "one_for_all", "dep_share": 8.0, "share_span_us": 5000000, "linger_us": 200000,
   "class_calls": [true], "class_skip_worth": [0.5], "passes_deadline": true, "readiness": false,
   "say": "weight", "upstreams": 3, "keepalive_max_us": 30000000,
   "meters": ["core_use", "on_cores", "heap_share", "links"]},
  "permissions": {"retry_after": true, "max_retry_after_us": 1000000},
  "rules": {"tip_multiple": 8.0, "drain_grace_us": 2500000}, "servers": 1}"#;

/// The length of the pause, and when it begins after the notice to drain, in milliseconds.
const PAUSE_MS: u64 = 500;
const PAUSE_AFTER_NOTICE_MS: u64 = 2_700;
/// The time from the notice to the kill; the pause is not counted.
const STOP_MS: u64 = 3_200;

/// A draining server stands still once for half a second.
pub fn pause_in_drain(record: &Arc<Record>, trouble: bool) -> Verdict {
    let mut world = World::new(
        record,
        Plan {
            servers: 1,
            settings: STOCK_SETTINGS.into(),
            works: vec![Work { class: "lot-lookup", before_ms: 250, calls: 1, after_ms: 250 }],
            call_ms: 200,
            class: "lot-lookup",
            keyed: false,
            allow_ms: 4_500,
            budget: None,
        },
    );
    if let Err(verdict) = world.start() {
        return verdict;
    }
    world.load(0, 30);
    world.sleep(4_000);
    let notice = record.ms();
    world.nodes[0].server.signal("TERM");
    let sleep_until =
        |ms: u64| std::thread::sleep(std::time::Duration::from_millis(ms.saturating_sub(record.ms())));
    sleep_until(notice + PAUSE_AFTER_NOTICE_MS - 50);
    // Nothing is written to a server that pauses.
    world.load(0, 0);
    sleep_until(notice + PAUSE_AFTER_NOTICE_MS);
    let mut stop_at = notice + STOP_MS;
    if trouble {
        world.later.set_paused(true);
        world.nodes[0].server.signal("STOP");
        world.sleep(PAUSE_MS);
        world.nodes[0].server.signal("CONT");
        world.later.set_paused(false);
        stop_at += PAUSE_MS;
    }
    let ended = world.nodes[0].server.wait_end(stop_at.saturating_sub(record.ms()));
    record.line(format!("n1: ended by itself before the kill: {ended}"));
    world.nodes[0].server.kill();
    world.sleep(300);
    world.end();
    let tries = world.tries.lock().unwrap().clone();
    let lost: Vec<_> = tries.iter().filter(|one| one.answers.is_empty()).collect();
    for one in &lost {
        record.line(format!(
            "lost: {} sent at {} ms, {} ms after the notice",
            one.reference,
            one.sent_ms,
            one.sent_ms as i64 - notice as i64
        ));
    }
    let answered_twice = tries.iter().filter(|one| one.answers.len() > 1).count();
    record.say(format!("lost {} of {}, answered twice {answered_twice}", lost.len(), tries.len()));
    // From 3 in 1,000 on the rule is broken.
    if lost.len() * 1_000 >= tries.len() * 3 && !lost.is_empty() {
        return Verdict::Broken(format!("{} of {} requests got no answer", lost.len(), tries.len()));
    }
    Verdict::Held
}
