//! `[routes]` and `[backend NAME]`.

use crate::support::{MEMBERS, error_lines, read_valid};

const BACKENDS: &str = "[routes]\nenabled = on\nrepeats = 0.2\n[backend a]\naddress = 127.0.0.1:7700\n\
                        handlers = x, y\n[backend b]\naddress = 127.0.0.1:7701\nzone = south\nweight = 2\n\
                        handlers = y, x\n";

#[test]
fn reads_backends_with_defaults_for_absent_keys() {
    let routes = read_valid(BACKENDS).upstream.expect("on");
    let backends: Vec<(&str, &str, f64)> = routes
        .backends
        .iter()
        .map(|b| (b.name.as_str(), b.zone.as_str(), b.weight))
        .collect();
    assert_eq!(backends, [("a", "", 1.0), ("b", "south", 2.0)]);
    assert_eq!(
        (
            routes.retry_ratio,
            routes.max_ejected_fraction,
            routes.min_local_fraction
        ),
        (0.2, 0.3, 0.7)
    );
    assert_eq!(
        (routes.hedging, routes.gossip, routes.zone.as_str()),
        (true, true, "")
    );
}

#[test]
fn routes_that_are_off_are_none() {
    assert_eq!(read_valid("[routes]\nenabled = off\n").upstream, None);
}

#[test]
fn the_zone_is_that_of_the_members_by_default() {
    let operator = read_valid(&format!("{MEMBERS}zone = north\n{BACKENDS}"));
    assert_eq!(operator.upstream.expect("on").zone, "north");
}

#[test]
fn routes_and_backends_need_each_other() {
    assert_eq!(
        error_lines("[routes]\nenabled = on\n"),
        ["o.ini:2: [routes] enabled: requires at least one section [backend NAME]"]
    );
    assert_eq!(
        error_lines("[backend a]\naddress = 127.0.0.1:1\nhandlers = x\n"),
        ["o.ini:1: [backend a]: requires a section [routes]"]
    );
}

#[test]
fn reports_invalid_routes_and_backends() {
    let text = "[routes]\nenabled = on\nout_most = 1\n[backend a]\nhandlers = x, y\n[backend b c]\n\
                address = 0.0.0.0:1\nweight = 0\nhandlers = y\n";
    assert_eq!(
        error_lines(text),
        [
            "o.ini:3: [routes] out_most: '1' is not a number from 0 to 0.9",
            "o.ini:4: [backend a] address: must be set",
            "o.ini:6: [backend b c]: must have a name of 1 to 63 letters, digits, '-', '_' or '.'",
            "o.ini:7: [backend b c] address: '0.0.0.0:1' is not an address that calls can be sent to",
            "o.ini:8: [backend b c] weight: '0' is not a number from 0.01 to 100",
            "o.ini:9: [backend b c] handlers: shares some, but not all, handlers with backend a",
        ]
    );
}
