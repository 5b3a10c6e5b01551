//! What the operator file may say, and how what it may not say is told.

use madderbay_operator_config::quota::By;
use madderbay_operator_config::{Operator, read};

fn wrong(text: &str) -> Vec<String> {
    read("o.ini", text).expect_err("told as wrong").lines()
}

#[test]
fn nothing_set_is_all_off() {
    assert_eq!(
        read("o.ini", "").expect("an empty file"),
        Operator::default()
    );
    assert_eq!(
        read("o.ini", "; only\n# comments\n").expect("read"),
        Operator::default()
    );
    let off = read("o.ini", "[pools]\nenabled = off\n[pool a]\nhandlers = x\n").expect("read");
    assert_eq!(off.pools, None);
}

#[test]
fn pools_and_the_reserve() {
    let text = "[pools]\nenabled = on\nlimits = fixed\n\n[pool seat-book]\nhandlers = seat-book, seat-hold\n\
                weight = 2.5\ncalls_weight = 0\nruns = 8\ncalls = 6\n[reserve]\n\
                handlers = fare-quote\npart = 0.2\n";
    let pools = read("o.ini", text).expect("read").pools.expect("on");
    assert!(!pools.adapts);
    let pool = &pools.pools[0];
    assert_eq!(pool.calls_weight, 0.0);
    assert_eq!(
        (pool.name.as_str(), pool.weight, pool.runs, pool.calls),
        ("seat-book", 2.5, Some(8), Some(6))
    );
    let reserve = pools.reserve.expect("a reserve");
    assert_eq!(reserve.part, 0.2);
    let known = [
        "fare-quote".to_string(),
        "seat-hold".into(),
        "seat-book".into(),
    ];
    assert_eq!(pool.handlers.among(&known, "handler"), Ok(vec![2, 1]));
    assert_eq!(
        reserve.handlers.among(&known[1..], "handler").map_err(|e| e.to_string()),
        Err("o.ini:12: [reserve] handlers: 'fare-quote' is no handler; known are seat-hold, seat-book".to_string())
    );
}

/// Every mistake is told at once, each in one line that names its place.
#[test]
fn all_mistakes_are_told_with_their_lines() {
    let text = "stray = 1\n[pools]\nenabled = yes\nlimit = fixed\n[pool a]\nhandlers = x, x\nweight = -1\n\
                [pool b]\nhandlers = x\nruns = 0\n[pool]\nhandlers =\n[reserve]\npart = 0.9\n[poools]\n";
    let found = wrong(text);
    let places = [
        "o.ini:1: stray: stands in no section",
        "o.ini:3: [pools] enabled: 'yes' is none of on, off",
        "o.ini:4: [pools] limit: no such key; known are enabled, limits",
        "o.ini:6: [pool a] handlers: 'x' stands twice",
        "o.ini:7: [pool a] weight: '-1' is no number from 0 to 1000000",
        "o.ini:9: [pool b] handlers: 'x' is in pool a already",
        "o.ini:10: [pool b] runs: '0' is no number from 1 to 100000",
        "o.ini:11: [pool]: a pool has a name: [pool NAME]",
        "o.ini:12: [pool] handlers: a pool has at least one handler",
        "o.ini:14: [reserve] part: '0.9' is no number from 0 to 0.5",
        "o.ini:15: [poools]: no such section",
    ];
    assert_eq!(found, places);
}

#[test]
fn parts_that_do_not_go_together() {
    assert_eq!(
        wrong("[reserve]\npart = 0.1\n"),
        ["o.ini:1: [reserve]: goes with a section [pools]"]
    );
    assert_eq!(
        wrong("[pools]\nenabled = on\nenabled = off\n"),
        ["o.ini:3: [pools] enabled: stands twice"]
    );
    assert_eq!(
        wrong("[pools]\n[pool a]\nhandlers = x\n[pool a]\nhandlers = y\n").len(),
        1
    );
    assert_eq!(
        wrong("[pools x]\n"),
        ["o.ini:1: [pools x]: has no name of its own"]
    );
    assert_eq!(
        wrong("[pools]\n[pool rest]\nhandlers = x\n"),
        ["o.ini:2: [pool rest]: 'rest' is the pool of what is in no other"]
    );
}

/// What is no INI at all is told in a line, too, and whatever comes never ends in a panic.
#[test]
fn any_text_is_read_or_told() {
    assert_eq!(wrong("[pools\nenabled = on\n").len(), 1);
    let text = std::fs::read_to_string(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../deploy/operator-full.ini"
    ));
    let text = text.expect("the full file");
    for cut in 0..text.len() {
        if text.is_char_boundary(cut)
            && let Err(errors) = read("o.ini", &text[..cut])
        {
            let lines = errors.lines();
            assert!(
                lines
                    .iter()
                    .all(|l| l.starts_with("o.ini:") && !l.contains('\n')),
                "{lines:?}"
            );
        }
    }
}

/// The file that shows every key shows each with its default: with all comments taken for keys it reads the
/// same as with none of its keys.
#[test]
fn the_full_file_shows_the_defaults() {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../deploy/operator-full.ini"
    );
    let text = std::fs::read_to_string(path).expect("the full file");
    let full = read("full", &text).expect("it reads").pools.expect("on");
    let bare = "[pools]\nenabled = on\n[pool seats]\nhandlers = seat-book\n[reserve]\n";
    let bare = read("bare", bare).expect("it reads").pools.expect("on");
    assert_eq!(
        (full.adapts, full.pools[0].weight),
        (bare.adapts, bare.pools[0].weight)
    );
    assert_eq!(full.reserve.map(|r| r.part), bare.reserve.map(|r| r.part));
    for key in [
        "enabled",
        "limits",
        "handlers",
        "weight",
        "calls_weight",
        "runs",
        "calls",
        "part",
    ] {
        assert!(
            text.lines()
                .any(|l| l.trim_start_matches("; ").starts_with(&format!("{key} ="))),
            "{key}"
        );
    }
}

#[test]
fn kept_results() {
    let kept = read(
        "o.ini",
        "[kept-results]\nenabled = on\ndirectory = var/kept\nsync = each\n",
    )
    .expect("read");
    let kept = kept.kept.expect("on");
    assert_eq!(
        (kept.directory.to_str(), kept.memory_mb, kept.disk_mb),
        (Some("var/kept"), 16, 64)
    );
    assert!(!kept.grouped);
    assert_eq!(
        read("o.ini", "[kept-results]\ndirectory = x\n")
            .expect("read")
            .kept,
        None
    );
    assert_eq!(
        wrong("[kept-results]\nenabled = on\ndisk_mb = 0\n"),
        [
            "o.ini:1: [kept-results] directory: has to name a folder",
            "o.ini:3: [kept-results] disk_mb: '0' is no number from 1 to 1048576",
        ]
    );
}

#[test]
fn members_and_the_control_socket() {
    let text = "[members]\nenabled = on\nlisten = 127.0.0.1:7946\nadvertise = 127.0.0.9:7946\n\
                join = 127.0.0.5:7946, 127.0.0.6:7946\nfleet = bookings\nnetworks = 127.0.0.0/8, 10.1.2.3\n\
                zone = north\n[control]\nsocket = run/control.sock\n";
    let operator = read("o.ini", text).expect("read");
    let members = operator.members.expect("on");
    assert_eq!(members.advertise.to_string(), "127.0.0.9:7946");
    assert_eq!(
        (members.join.len(), members.networks[1].to_string().as_str()),
        (2, "10.1.2.3/32")
    );
    assert_eq!(
        (
            members.most,
            members.probe_ms,
            members.suspicion_ms,
            members.memory_s
        ),
        (2_000, 500, 3_000, 60)
    );
    assert_eq!(
        operator.control.expect("set").socket.to_str(),
        Some("run/control.sock")
    );
    let least = read("o.ini", "[members]\nenabled = on\nlisten = 10.0.0.1:7946\n").expect("read");
    let least = least.members.expect("on");
    assert_eq!(
        (least.advertise, least.fleet.as_str()),
        (least.listen, "madderbay")
    );
    assert_eq!(
        read("o.ini", "[members]\nenabled = off\n")
            .expect("read")
            .members,
        None
    );
}

const FLEET: &str = "[members]\nenabled = on\nlisten = 127.0.0.1:7946\n";

#[test]
fn what_the_fleet_shares() {
    let text = "[shared]\nenabled = on\n[budget trip-book]\nhandlers = seat-book\ncalls = 64\nservers = 12\n\
                [count tenants]\nby = tenant\n";
    let shared = read("o.ini", &format!("{FLEET}{text}"))
        .expect("read")
        .shared
        .expect("on");
    let budget = &shared.budgets[0];
    assert_eq!(
        (budget.name.as_str(), budget.calls, budget.servers),
        ("trip-book", 64, 12)
    );
    assert_eq!(
        (
            budget.lease_ms,
            budget.longest_ms,
            shared.seat,
            shared.weight
        ),
        (1_000, 2_000, None, 1.0)
    );
    assert_eq!(
        (
            shared.counts[0].by,
            shared.counts[0].window_s,
            shared.counts[0].most
        ),
        (By::Tenant, 10, 1_000.0)
    );
    assert_eq!(
        read("o.ini", "[shared]\nenabled = off\n")
            .expect("read")
            .shared,
        None
    );
    assert_eq!(
        wrong("[shared]\nenabled = on\n"),
        ["o.ini:2: [shared] enabled: goes with [members], by which servers hear each other"]
    );
    let few = "[shared]\nenabled = on\n[budget a]\nhandlers = x\ncalls = 3\nservers = 5\n\
               [budget b c]\nhandlers = x\nservers = 0\n[count d]\nby = hour\n";
    assert_eq!(
        wrong(&format!("{FLEET}{few}")),
        [
            "o.ini:8: [budget a] calls: 3 calls give none of 5 servers any of its own: set each server's seat in \
             [shared]",
            "o.ini:10: [budget b c] calls: has to be set",
            "o.ini:10: [budget b c]: has a name of letters, digits, '-', '_' and '.', 63 at most",
            "o.ini:11: [budget b c] handlers: 'x' is in budget a already",
            "o.ini:12: [budget b c] servers: '0' is no number from 1 to 10000",
            "o.ini:14: [count d] by: 'hour' is none of tenant, handler",
        ]
    );
    let seated = few.replace("enabled = on", "enabled = on\nseat = 2");
    assert!(
        !wrong(&format!("{FLEET}{seated}"))
            .iter()
            .any(|w| w.contains("calls give none"))
    );
    assert_eq!(
        wrong("[budget a]\ncalls = 1\n"),
        ["o.ini:1: [budget a]: goes with a section [shared]"]
    );
}

#[test]
fn mistakes_about_the_fleet_are_told() {
    let text = "[members]\nenabled = on\nlisten = 0.0.0.0:7946\njoin = 192.0.2.1:1, here\nfleet = a b\n\
                networks = 10.0.0.0/8, ten\nprobe_ms = 500\nsuspicion_ms = 900\n[control]\n";
    let places = [
        "o.ini:3: [members] listen: '0.0.0.0:7946' is nowhere that others can send to",
        "o.ini:3: [members] listen: '0.0.0.0:7946' lies in none of the networks",
        "o.ini:4: [members] join: '192.0.2.1:1' lies in none of the networks",
        "o.ini:4: [members] join: 'here' is no address and port",
        "o.ini:5: [members] fleet: 'a b' is no name of letters, digits, '-', '_' and '.', 63 at most",
        "o.ini:6: [members] networks: 'ten' is no network, as in 10.0.0.0/8",
        "o.ini:8: [members] suspicion_ms: a suspicion outlasts two probes, or one lost datagram takes a server down",
        "o.ini:9: [control] socket: has to name a path of 1 to 100 bytes",
    ];
    assert_eq!(wrong(text), places);
    assert_eq!(
        wrong("[members]\nenabled = on\n"),
        ["o.ini:1: [members] listen: has to name an address and port"]
    );
}

#[test]
fn backends_are_read_and_mistakes_about_them_told() {
    let text = "[routes]\nenabled = on\nrepeats = 0.2\n[backend a]\naddress = 127.0.0.1:7700\nhandlers = x, y\n\
                [backend b]\naddress = 127.0.0.1:7701\nzone = south\nweight = 2\nhandlers = y, x\n";
    let routes = read("o.ini", text).expect("read").routes.expect("on");
    let named: Vec<(&str, &str, f64)> = routes
        .backends
        .iter()
        .map(|b| (b.name.as_str(), b.zone.as_str(), b.weight))
        .collect();
    assert_eq!(named, [("a", "", 1.0), ("b", "south", 2.0)]);
    assert_eq!(
        (routes.repeats, routes.out_most, routes.near_least),
        (0.2, 0.3, 0.7)
    );
    assert_eq!(
        (routes.hedges, routes.shares, routes.zone.as_str()),
        (true, true, "")
    );
    assert_eq!(
        read("o.ini", "[routes]\nenabled = off\n")
            .expect("read")
            .routes,
        None
    );
    let zoned = format!("{FLEET}zone = north\n{text}");
    assert_eq!(
        read("o.ini", &zoned)
            .expect("read")
            .routes
            .expect("on")
            .zone,
        "north"
    );
    assert_eq!(
        wrong("[routes]\nenabled = on\n"),
        ["o.ini:2: [routes] enabled: goes with sections [backend NAME]"]
    );
    assert_eq!(
        wrong("[backend a]\naddress = 127.0.0.1:1\nhandlers = x\n"),
        ["o.ini:1: [backend a]: goes with a section [routes]"]
    );
    let bad = "[routes]\nenabled = on\nout_most = 1\n[backend a]\nhandlers = x, y\n[backend b c]\n\
               address = 0.0.0.0:1\nweight = 0\nhandlers = y\n";
    assert_eq!(
        wrong(bad),
        [
            "o.ini:3: [routes] out_most: '1' is no number from 0 to 0.9",
            "o.ini:4: [backend a] address: has to be set",
            "o.ini:6: [backend b c]: has a name of letters, digits, '-', '_' and '.', 63 at most",
            "o.ini:7: [backend b c] address: '0.0.0.0:1' is nowhere that calls can go to",
            "o.ini:8: [backend b c] weight: '0' is no number from 0.01 to 100",
            "o.ini:9: [backend b c] handlers: shares some handlers with backend a, and not all",
        ]
    );
}
