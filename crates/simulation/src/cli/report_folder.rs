//! The folder of a report, for readers who have not seen the code: a text page, the history, the rows, and plots over
//! time.

use super::error::CommandError;
use super::figures;
use super::files::{create_folder, write_text};
use super::plot::{Curve, Plot, Point};
use madderbay_simulation::{Handler, History, SecondRow, SimulationReport};
use std::fmt::{self, Display};
use std::path::Path;

/// Writes `report.txt`, `history.txt`, `rows.jsonl` and four plots.
pub(crate) fn write(
    folder: &Path,
    history: &History,
    seed: u64,
    report: &SimulationReport,
) -> Result<(), CommandError> {
    let rows = figures::json_lines(report)?;
    create_folder(folder)?;
    let text_report = TextReport {
        history,
        seed,
        report,
    };
    write_text(&folder.join("report.txt"), &text_report.to_string())?;
    write_text(&folder.join("history.txt"), &history.to_string())?;
    write_text(&folder.join("rows.jsonl"), &rows)?;
    let plots = Plots { history, report };
    plots.answered_in_time().write(&folder.join("kept.svg"))?;
    plots.calls_in_flight().write(&folder.join("below.svg"))?;
    plots.views().write(&folder.join("views.svg"))?;
    plots.ejections().write(&folder.join("backends.svg"))
}

/// The text of `report.txt`.
struct TextReport<'a> {
    history: &'a History,
    seed: u64,
    report: &'a SimulationReport,
}

impl Display for TextReport<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.write_header(f)?;
        self.write_figures(f)?;
        self.write_violations(f)
    }
}

impl TextReport<'_> {
    fn write_header(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let History {
            servers,
            backends,
            seconds,
            features,
            ..
        } = self.history;
        let seed = self.seed;
        writeln!(
            f,
            "{servers} servers, {backends} backends, {seconds} s, seed {seed}; on: {features}\n"
        )
    }

    fn write_figures(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let fractions = self.report.fractions_in_time();
        for (handler, fraction) in Handler::ALL.iter().zip(fractions) {
            let percent = fraction * 100.0;
            let name = handler.name();
            writeln!(f, "{name:<8} {percent:.1} of 100 reqs done in time")?;
        }
        let peak = self.report.peak_calls_in_flight();
        let quota = self.history.quota;
        writeln!(f, "\nmost calls in hand below: {peak} of {quota}")?;
        f.write_str("all that run hold one view, nobody is doubted: ")?;
        match self.report.convergence_s {
            Some(seconds) => writeln!(f, "{seconds:.1} s after the last deed")?,
            None => writeln!(f, "never")?,
        }
        for (transition, count) in &self.report.simultaneous_transitions {
            let what = transition.description();
            writeln!(
                f,
                "most servers that {what} within a tenth of a second: {count}"
            )?;
        }
        Ok(())
    }

    fn write_violations(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let violations = &self.report.violations;
        writeln!(f, "\nrules broken: {}", violations.len())?;
        violations.iter().try_for_each(|violation| {
            let second = violation.at_ms as f64 / 1e3;
            let invariant = violation.invariant;
            let detail = &violation.detail;
            writeln!(f, "{second:8.3} s {invariant}: {detail}")
        })
    }
}

/// The plots, each over the length of the simulation.
struct Plots<'a> {
    history: &'a History,
    report: &'a SimulationReport,
}

impl Plots<'_> {
    fn plot(&self, title: &'static str, curves: Vec<Curve>) -> Plot {
        Plot {
            title,
            seconds: self.history.seconds as f64,
            curves,
        }
    }

    fn curve(&self, label: &'static str, value: impl Fn(&SecondRow) -> f64) -> Curve {
        let point = |row: &SecondRow| -> Point { (row.second as f64, value(row)) };
        Curve {
            label,
            points: self.report.rows.iter().map(point).collect(),
        }
    }

    fn answered_in_time(&self) -> Plot {
        let curves = Handler::ALL.map(|handler| {
            let index = handler.index();
            self.curve(handler.name(), |row| {
                let requests = row.requests[index].max(1);
                f64::from(row.answered_in_time[index]) / f64::from(requests)
            })
        });
        self.plot("part of reqs done in time", curves.into())
    }

    fn calls_in_flight(&self) -> Plot {
        let quota = f64::from(self.history.quota);
        let curves = vec![
            self.curve("most in hand", |row| f64::from(row.peak_calls_in_flight)),
            self.curve("budget", |_| quota),
        ];
        self.plot("calls in hand below", curves)
    }

    fn views(&self) -> Plot {
        let curves = vec![
            self.curve("running", |row| f64::from(row.running_servers)),
            self.curve("with another view", |row| f64::from(row.divergent_views)),
        ];
        self.plot("servers", curves)
    }

    fn ejections(&self) -> Plot {
        let label = "left out, over all servers";
        let curve = self.curve(label, |row| f64::from(row.ejected_backends));
        self.plot("backends left out", vec![curve])
    }
}
