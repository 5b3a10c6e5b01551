use super::*;
use crate::fault::{BackendFault, DatagramFaults};
use crate::ids::{BackendId, ServerId};

fn error_of(text: &str) -> String {
    History::parse("x", text).unwrap_err().to_string()
}

#[test]
fn a_written_history_parses_to_the_same_history() {
    for seed in 0..50 {
        let generated = History::default().with_random_faults(seed, 20);
        assert_eq!(History::parse("x", &generated.to_string()), Ok(generated));
    }
}

#[test]
fn errors_name_the_line_and_the_invalid_word() {
    assert_eq!(
        error_of("servers 3\n@5 kill n4\n"),
        "x: 'kill n4' names a server or backend that does not exist"
    );
    assert_eq!(error_of("@5 jump\n"), "x:1: unknown fault 'jump'");
    assert_eq!(error_of("\nparts all\n"), "x:2: unknown part 'all'");
    assert_eq!(error_of("rate\n"), "x:1: expected a number");
    assert_eq!(error_of("rate fast\n"), "x:1: invalid number 'fast'");
    assert_eq!(error_of("@5 kill\n"), "x:1: expected the name of a server");
    assert_eq!(error_of("@5 kill n0\n"), "x:1: invalid server name 'n0'");
    assert_eq!(error_of("speed 5\n"), "x:1: unknown keyword 'speed'");
    assert_eq!(error_of("plant none\n"), "x:1: unknown defect 'none'");
    assert_eq!(
        error_of("@5 backend 1 odd\n"),
        "x:1: unknown backend state 'odd'"
    );
}

#[test]
fn errors_are_typed() {
    let expected = HistoryError::Line {
        source_name: "x".into(),
        line: 2,
        error: LineError::InvalidNumber("many".into()),
    };
    assert_eq!(
        History::parse("x", "servers 3\nzones many\n"),
        Err(expected)
    );
}

fn one_of_each_fault() -> Vec<Fault> {
    let [server, other, third] = [0, 1, 2].map(ServerId);
    let (backend, other_backend) = (BackendId(0), BackendId(1));
    let backend_fault = |backend, fault| Fault::Backend { backend, fault };
    vec![
        Fault::Kill(server),
        Fault::Start(server),
        Fault::Stop(other),
        Fault::Continue(other),
        Fault::SlowEngine {
            server: third,
            factor: 2.0,
        },
        Fault::PartitionHalves,
        Fault::Isolate(server),
        Fault::BlockOutgoing(other),
        Fault::Heal,
        Fault::Datagrams(DatagramFaults {
            loss: 0.1,
            duplication: 0.2,
            corruption: 0.3,
            max_delay_ms: 40,
        }),
        Fault::ClearDatagramFaults,
        Fault::Load {
            server,
            factor: 2.0,
        },
        backend_fault(backend, Some(BackendFault::Silent)),
        backend_fault(backend, Some(BackendFault::Failing)),
        backend_fault(other_backend, Some(BackendFault::Down)),
        backend_fault(other_backend, Some(BackendFault::Slow { factor: 10.0 })),
        backend_fault(other_backend, None),
    ]
}

/// Stored histories use these words and must stay readable.
#[test]
fn text_format_is_stable() {
    let text = "servers 3\nbackends 2\nzones 1\nseconds 9\nrate 2.5\nwhole 8\nparts members shared routes pools\n\
        plant answers\n@1 kill n1\n@2 start n1\n@3 stop n2\n@4 continue n2\n@5 slow n3 2\n@6 halves\n@7 alone n1\n\
        @8 oneway n2\n@9 heal\n@10 net 0.1 0.2 0.3 40\n@11 calm\n@12 load n1 2\n@13 backend 0 silent\n\
        @14 backend 0 fails\n@15 backend 1 down\n@16 backend 1 slow 10\n@17 backend 1 well\n";
    let history = History {
        servers: 3,
        backends: 2,
        zones: 1,
        seconds: 9,
        requests_per_second: 2.5,
        quota: 8,
        features: Features::ALL,
        defect: Some(Defect::LostAnswers),
        faults: (1..)
            .zip(one_of_each_fault())
            .map(|(at_ms, fault)| ScheduledFault::new(at_ms, fault))
            .collect(),
    };
    assert_eq!(history.to_string(), text);
    assert_eq!(History::parse("x", text), Ok(history));
}

/// Reports and the program's own table use these names.
#[test]
fn defect_names_are_stable() {
    let names = Defect::ALL.map(Defect::name);
    assert_eq!(names, ["answers", "runs", "terms", "repeats", "suspicion"]);
}
