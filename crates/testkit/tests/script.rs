//! Parsing of fault scripts: the steps that each line yields, and the errors for wrong lines.

use madderbay::time::Duration;
use madderbay_membership::Connectivity;
use madderbay_testkit::fleet::script::{Action, Condition, Expected, Script, ScriptError, Step};

/// Returns the steps of a line in a script for three servers, of which `n3` is in the zone `south`.
fn steps(line: &str) -> Vec<Step> {
    let text = format!("servers 3\nzone south n3\n{line}");
    let script = Script::read("test", &text).expect("a script");
    script.steps.into_iter().map(|(_, step)| step).collect()
}

fn error(text: &str) -> ScriptError {
    Script::read("test", text).expect_err("no script")
}

#[test]
fn an_action_on_several_servers_yields_one_step_per_server() {
    let kill = |server| Step::Action(Action::Kill(server));
    assert_eq!(steps("kill n2 south"), [kill(1), kill(2)]);
    assert_eq!(steps("kill all"), [kill(0), kill(1), kill(2)]);
    let set_capacity = |server| {
        Step::Action(Action::SetCapacity {
            server,
            capacity: 32,
        })
    };
    assert_eq!(
        steps("capacity n1 n3 32"),
        [set_capacity(0), set_capacity(2)]
    );
}

#[test]
fn start_accepts_a_clock_offset_and_a_server_name() {
    let start = |who, name, secs, back| {
        Step::Action(Action::Start {
            who,
            name,
            clock: Duration::from_secs_f64(secs),
            back,
        })
    };
    assert_eq!(steps("start n1"), [start(0, 0, 0.0, false)]);
    assert_eq!(steps("start n1 clock=-300s"), [start(0, 0, 300.0, true)]);
    assert_eq!(steps("start n1 clock=5ms"), [start(0, 0, 0.005, false)]);
    assert_eq!(steps("start n3 name=n1"), [start(2, 0, 0.0, false)]);
    assert_eq!(
        steps("start n3 name=n1 clock=-5ms"),
        [start(2, 0, 0.005, true)]
    );
}

#[test]
fn groups_of_a_partition_are_separated_by_bars() {
    let partition = Action::Cut(vec![vec![0], vec![1, 2]]);
    assert_eq!(steps("partition n1 | n2 south"), [Step::Action(partition)]);
    let one_way = Action::OneWay(0, vec![1, 2]);
    assert_eq!(steps("oneway n1 > n2 n3"), [Step::Action(one_way)]);
}

#[test]
fn conditions_have_a_term() {
    let within = |condition, ms| [Step::Within(condition, Duration::from_millis(ms))];
    assert_eq!(steps("settle 10s"), within(Condition::Settled, 10_000));
    let unknown = Condition::View {
        observers: vec![0],
        member: 2,
        state: None,
    };
    assert_eq!(steps("view n1 n3 unknown 40ms"), within(unknown, 40));
    let partial = Condition::Connectivity {
        servers: vec![0, 1, 2],
        connectivity: Connectivity::Partial,
    };
    assert_eq!(steps("connectivity all partial 2s"), within(partial, 2_000));
    let upper_bound = Condition::QuotaBetween {
        who: vec![0],
        least: 0,
        most: 10,
    };
    assert_eq!(
        steps("quota-at-most n1 10 3s # calls"),
        within(upper_bound, 3_000)
    );
}

#[test]
fn the_setup_applies_to_the_lines_below_it() {
    let text = "servers 2\nset capacity=64 max_servers=12 lease=2s join=n2\nstart all";
    let setup = Script::read("test", text).expect("a script").setup;
    let quota = setup.budget.expect("a quota");
    assert_eq!((quota.capacity, quota.servers), (64, 12));
    assert_eq!(quota.lease, Duration::from_millis(2_000));
    assert_eq!((setup.servers, setup.join), (2, vec![1]));
}

#[test]
fn an_error_names_the_line_the_word_and_the_expected_form() {
    let text = "servers 3\n\nkill n4";
    let expected = ScriptError {
        file: "test".into(),
        line: 3,
        word: "n4".into(),
        expected: Expected::Server,
    };
    assert_eq!(error(text), expected);
    assert_eq!(
        error(text).to_string(),
        "test:3: 'n4': a server is expected, as in n1"
    );
}

/// The form that a line beginning with `quota-at-least` must have.
const QUOTA_FORM: Expected = Expected::Line("quota-at-least GROUP N TERM");

#[test]
fn each_kind_of_invalid_word_has_its_own_error() {
    for (line, word, expected) in [
        ("jump n1", "jump", Expected::Keyword),
        ("heal n1", "heal", Expected::Line("heal")),
        ("settle 10", "10", Expected::Time),
        ("loss 2", "2", Expected::Fraction),
        ("peak many", "many", Expected::Number),
        ("quota-at-least n1 2", "quota-at-least", QUOTA_FORM),
        ("view n1 n1 gone 1s", "gone", Expected::State),
        ("connectivity n1 half 1s", "half", Expected::Connectivity),
        ("set memory", "memory", Expected::Assignment),
        ("set lease=1s", "lease", Expected::Key),
        ("set capacity=8 slots=yes", "yes", Expected::Switch),
    ] {
        let error = error(line);
        assert_eq!((error.word.as_str(), error.expected), (word, expected));
    }
}

/// A step that names no server would do nothing, and a check after it would pass for the wrong
/// reason.
#[test]
fn steps_without_servers_are_errors() {
    for (line, form) in [
        ("start", "start SERVERS"),
        ("kill", "kill SERVERS"),
        ("stop", "stop SERVERS"),
        ("continue", "continue SERVERS"),
        ("drain", "drain SERVERS"),
        ("demand 5", "demand SERVERS N"),
        ("partition", "partition SERVERS | SERVERS ..."),
        ("partition n1 |", "partition SERVERS | SERVERS ..."),
        ("oneway n1 >", "oneway SERVER > SERVERS"),
    ] {
        assert_eq!(error(line).expected, Expected::Line(form), "{line}");
    }
}
