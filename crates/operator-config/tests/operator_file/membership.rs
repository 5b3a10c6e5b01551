//! `[members]` and `[control]`.

use crate::support::{error_lines, read_valid};

#[test]
fn reads_members_and_the_control_socket() {
    let text = "[members]\nenabled = on\nlisten = 127.0.0.1:7946\nadvertise = 127.0.0.9:7946\n\
                join = 127.0.0.5:7946, 127.0.0.6:7946\nfleet = bookings\nnetworks = 127.0.0.0/8, 10.1.2.3\n\
                zone = north\n[control]\nsocket = run/control.sock\n";
    let operator = read_valid(text);
    let members = operator.membership.expect("on");
    assert_eq!(members.advertise.to_string(), "127.0.0.9:7946");
    assert_eq!(
        (members.join.len(), members.networks[1].to_string().as_str()),
        (2, "10.1.2.3/32")
    );
    assert_eq!(
        (
            members.max_members,
            members.probe_ms,
            members.suspicion_ms,
            members.down_retention_s
        ),
        (2_000, 500, 3_000, 60)
    );
    assert_eq!(
        operator.control_socket.expect("set").socket.to_str(),
        Some("run/control.sock")
    );
}

#[test]
fn advertises_the_address_listened_on_by_default() {
    let operator = read_valid("[members]\nenabled = on\nlisten = 10.0.0.1:7946\n");
    let members = operator.membership.expect("on");
    assert_eq!(
        (members.advertise, members.fleet.as_str()),
        (members.listen, "madderbay")
    );
}

#[test]
fn members_that_are_off_are_none() {
    assert_eq!(read_valid("[members]\nenabled = off\n").membership, None);
}

#[test]
fn reports_invalid_addresses_names_and_times() {
    let text = "[members]\nenabled = on\nlisten = 0.0.0.0:7946\njoin = 192.0.2.1:1, here\nfleet = a b\n\
                networks = 10.0.0.0/8, ten\nprobe_ms = 500\nsuspicion_ms = 900\n[control]\n";
    let expected = [
        "o.ini:3: [members] listen: '0.0.0.0:7946' is not an address that other servers can send to",
        "o.ini:3: [members] listen: '0.0.0.0:7946' lies in none of the networks",
        "o.ini:4: [members] join: '192.0.2.1:1' lies in none of the networks",
        "o.ini:4: [members] join: 'here' is not an IP address with a port",
        "o.ini:5: [members] fleet: 'a b' is not a name of at most 63 letters, digits, '-', '_' or '.'",
        "o.ini:6: [members] networks: 'ten' is not a network such as 10.0.0.0/8",
        "o.ini:8: [members] suspicion_ms: must be at least twice probe_ms, otherwise one lost datagram takes a server down",
        "o.ini:9: [control] socket: must be a path of 1 to 100 bytes",
    ];
    assert_eq!(error_lines(text), expected);
}

#[test]
fn members_that_are_on_need_an_address_to_listen_on() {
    assert_eq!(
        error_lines("[members]\nenabled = on\n"),
        ["o.ini:1: [members] listen: must be set to an IP address with a port"]
    );
}
