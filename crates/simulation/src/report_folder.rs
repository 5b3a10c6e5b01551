//! What a play did, for who never saw the code: a page of text, the rows, and plots over time.

use madderbay_simulation::{Handler, History, SecondRow as Row, SimulationReport};
use plotters::prelude::*;
use std::fmt::Write;
use std::path::Path;

type Curve<'a> = (&'a str, Vec<(f64, f64)>);

fn plot(path: &Path, title: &str, seconds: f64, curves: &[Curve]) -> Result<(), String> {
    let most = curves
        .iter()
        .flat_map(|c| &c.1)
        .map(|p| p.1)
        .fold(1.0, f64::max)
        * 1.05;
    let told = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let area = SVGBackend::new(path, (800, 320)).into_drawing_area();
    area.fill(&WHITE).map_err(|e| told(&e))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..seconds, 0.0..most)
        .map_err(|e| told(&e))?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .draw()
        .map_err(|e| told(&e))?;
    for (i, (name, points)) in curves.iter().enumerate() {
        let colour = Palette99::pick(i).to_rgba();
        chart
            .draw_series(LineSeries::new(
                points.iter().copied(),
                colour.stroke_width(2),
            ))
            .map_err(|e| told(&e))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .draw()
        .map_err(|e| told(&e))?;
    area.present().map_err(|e| told(&e))
}

/// Writes the folder: `report.txt`, `history.txt`, `rows.jsonl` and four plots.
pub fn write(
    to: &Path,
    history: &History,
    seed: u64,
    found: &SimulationReport,
    rows: &str,
) -> Result<(), String> {
    std::fs::create_dir_all(to).map_err(|e| format!("{}: {e}", to.display()))?;
    let put = |name: &str, text: &str| {
        let path = to.join(name);
        std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))
    };
    let mut text = format!(
        "{} servers, {} backends, {} s, seed {seed}; on: {}\n\n",
        history.servers, history.backends, history.seconds, history.features
    );
    for (handler, part) in Handler::ALL.iter().zip(found.fractions_in_time()) {
        let _ = writeln!(
            text,
            "{:<8} {:.1} of 100 reqs done in time",
            handler.name(),
            part * 100.0
        );
    }
    let peak = found.peak_calls_in_flight();
    let _ = writeln!(
        text,
        "\nmost calls in hand below: {peak} of {}",
        history.quota
    );
    let settles = found
        .settling_s
        .map_or("never".into(), |s| format!("{s:.1} s after the last deed"));
    let _ = writeln!(
        text,
        "all that run hold one view, nobody is doubted: {settles}"
    );
    for (transition, n) in &found.simultaneous_transitions {
        let _ = writeln!(
            text,
            "most servers that {} within a tenth of a second: {n}",
            transition.description()
        );
    }
    let _ = writeln!(text, "\nrules broken: {}", found.violations.len());
    for b in &found.violations {
        let _ = writeln!(
            text,
            "{:8.3} s {}: {}",
            b.at_ms as f64 / 1e3,
            b.invariant,
            b.detail
        );
    }
    put("report.txt", &text)?;
    put("history.txt", &history.to_string())?;
    put("rows.jsonl", rows)?;
    let curve = |of: &dyn Fn(&Row) -> f64| {
        found
            .rows
            .iter()
            .map(|r| (r.second as f64, of(r)))
            .collect()
    };
    let seconds = history.seconds as f64;
    let by: Vec<Curve> = Handler::ALL
        .iter()
        .map(|handler| {
            let h = handler.index();
            (
                handler.name(),
                curve(&|r| f64::from(r.answered_in_time[h]) / f64::from(r.requests[h].max(1))),
            )
        })
        .collect();
    plot(
        &to.join("kept.svg"),
        "part of reqs done in time",
        seconds,
        &by,
    )?;
    let whole = found
        .rows
        .iter()
        .map(|r| (r.second as f64, f64::from(history.quota)))
        .collect();
    let below = [
        (
            "most in hand",
            curve(&|r| f64::from(r.peak_calls_in_flight)),
        ),
        ("budget", whole),
    ];
    plot(
        &to.join("below.svg"),
        "calls in hand below",
        seconds,
        &below,
    )?;
    let views = [
        ("running", curve(&|r| f64::from(r.running_servers))),
        (
            "with another view",
            curve(&|r| f64::from(r.divergent_views)),
        ),
    ];
    plot(&to.join("views.svg"), "servers", seconds, &views)?;
    let out = [(
        "left out, over all servers",
        curve(&|r| f64::from(r.ejected_backends)),
    )];
    plot(&to.join("backends.svg"), "backends left out", seconds, &out)
}
