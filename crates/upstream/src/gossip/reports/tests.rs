use super::*;

/// A report of a witness on the backend whose name has the hash 1.
struct SentReport {
    from: String,
    zone: &'static str,
    successes: f64,
    failures: f64,
}

fn report_from(from: &str, zone: &'static str, successes: f64, failures: f64) -> SentReport {
    SentReport {
        from: from.to_owned(),
        zone,
        successes,
        failures,
    }
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(10_000_000 + ms * 1_000)
}

fn record(reports: &mut ReceivedReports, now: Timestamp, sent: &SentReport) {
    let (name, zone) = (sent.from.as_str().into(), sent.zone.into());
    let witness = Witness {
        name: &name,
        zone: &zone,
        incarnation: 1,
        credible: true,
    };
    let seen = Observation {
        name_hash: 1,
        successes: sent.successes,
        failures: sent.failures,
        age: Duration::ZERO,
    };
    reports.record(now, witness, seen);
}

fn received(sent: &[SentReport]) -> ReceivedReports {
    let mut reports = ReceivedReports::default();
    for sent in sent {
        record(&mut reports, at(0), sent);
    }
    reports
}

#[test]
fn many_witnesses_of_one_zone_weigh_little_more_than_one() {
    let one = received(&[report_from("a", "north", 0.0, 5.0)]).summary(at(0), 1);
    let many: Vec<SentReport> = (0..30)
        .map(|n| report_from(&format!("n{n}"), "north", 0.0, 5.0))
        .collect();
    let many = received(&many).summary(at(0), 1);
    assert!(one.failures < 1.0, "{one:?}");
    assert!(
        many.failures <= MAX_ZONE_FAILURES && many.zones_against == 1,
        "{many:?}"
    );
}

#[test]
fn a_second_zone_adds_weight() {
    let one = received(&[report_from("a", "north", 0.0, 5.0)]).summary(at(0), 1);
    let two = received(&[
        report_from("a", "north", 0.0, 5.0),
        report_from("b", "north", 0.0, 5.0),
        report_from("c", "south", 0.0, 5.0),
        report_from("d", "south", 0.0, 5.0),
    ]);
    let two = two.summary(at(0), 1);
    assert!(
        two.zones_against == 2 && two.failures > one.failures,
        "{two:?}"
    );
}

#[test]
fn successes_in_a_zone_outweigh_its_failures() {
    let split = received(&[
        report_from("a", "north", 0.0, 5.0),
        report_from("b", "north", 5.0, 0.0),
        report_from("c", "north", 9.0, 0.0),
    ]);
    let split = split.summary(at(0), 1);
    assert!(
        split.failures < 0.4 && split.zones_against == 0,
        "{split:?}"
    );
    assert_eq!(split.seen_healthy_at, Some(at(0)));
}

#[test]
fn reports_lose_their_weight_with_age() {
    let reports = received(&[report_from("a", "north", 0.0, 5.0)]);
    assert!(reports.summary(at(2_500), 1).failures < reports.summary(at(0), 1).failures);
    assert_eq!(reports.summary(at(5_000), 1), ReportSummary::default());
}

#[test]
fn reports_of_previous_incarnations_are_dropped() {
    let mut reports = received(&[report_from("a", "north", 0.0, 5.0)]);
    reports.retain_incarnation(&"a".into(), Some(1));
    assert_eq!(reports.len(), 1, "the incarnation goes on");
    reports.retain_incarnation(&"a".into(), Some(2));
    assert_eq!(reports.len(), 0);
}

#[test]
fn stored_reports_are_bounded_and_expire() {
    let mut reports = ReceivedReports::default();
    for n in 0..500 {
        record(
            &mut reports,
            at(n),
            &report_from(&format!("n{n}"), "z", 0.0, 1.0),
        );
    }
    assert_eq!(reports.len(), MAX_WITNESSES);
    reports.prune(at(10_000), |_| true);
    assert_eq!(reports.len(), 0);
}
