//! `madderbay-simulation`: plays, searches, shrinks, compares and reports histories of a simulated fleet.

use clap::{Args, Parser, Subcommand};
use madderbay_simulation::{Handler, History, SimulationReport, fault_mix_table, shrink, simulate};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

mod report_folder;

/// A whole fleet in simulated time, from one seed.
#[derive(Parser)]
#[command(name = "madderbay-simulation", version)]
struct Line {
    #[command(subcommand)]
    order: Order,
}

#[derive(Args)]
struct Drawn {
    /// Servers, backends, and seconds of a drawn history
    #[arg(long, default_value_t = 12)]
    servers: usize,
    #[arg(long, default_value_t = 4)]
    backends: usize,
    #[arg(long, default_value_t = 45)]
    seconds: u64,
    /// Reqs a second of each server
    #[arg(long, default_value_t = 20.0)]
    rate: f64,
    /// Faults in it
    #[arg(long, default_value_t = 20)]
    faults: usize,
    /// Parts that are on, with commas between, or none
    #[arg(long, default_value = "members,shared,routes,pools")]
    parts: String,
}

#[derive(Subcommand)]
enum Order {
    /// Play a history; the figures as JSON lines
    Run {
        file: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Write the history that a seed draws
    Draw {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[command(flatten)]
        of: Drawn,
    },
    /// Play drawn histories; those that break something are written, with what they broke
    Search {
        #[arg(long, default_value_t = 100)]
        count: u64,
        /// The first seed
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Where to write
        #[arg(long, default_value = "found")]
        to: PathBuf,
        /// Plays at a time
        #[arg(long, default_value_t = 4)]
        beside: usize,
        #[command(flatten)]
        of: Drawn,
    },
    /// The fewest deeds under which a history still breaks a rule
    Shrink {
        file: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// What a fleet keeps in calm and in eight mixes of faults, with nothing on, each part, and all
    Table {
        #[arg(long, default_value_t = 10)]
        servers: usize,
        #[arg(long, default_value_t = 4)]
        beside: usize,
        /// Mixes whose name holds this
        #[arg(long, default_value = "")]
        only: String,
    },
    /// Two outputs of `run` beside each other
    Compare { one: PathBuf, other: PathBuf },
    /// A folder with what a history does: text, JSON lines and plots
    Report {
        file: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value = "report")]
        to: PathBuf,
    },
}

fn text(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

fn history(path: &Path) -> Result<History, String> {
    History::parse(&path.display().to_string(), &text(path)?).map_err(|e| e.to_string())
}

impl Drawn {
    fn draw(&self, seed: u64) -> Result<History, String> {
        let line = format!("parts {}\n", self.parts.replace(',', " "));
        let features = History::parse("--parts", &line)
            .map_err(|e| e.to_string())?
            .features;
        if self.servers < 2 || self.backends == 0 {
            return Err("at least two servers and one backend are wanted".into());
        }
        let whole = (self.servers * 6) as u32;
        let of = History {
            servers: self.servers,
            backends: self.backends,
            zones: self.backends.min(3),
            seconds: self.seconds,
            requests_per_second: self.rate,
            quota: whole,
            features,
            defect: None,
            faults: vec![],
        };
        Ok(of.with_drawn_faults(seed, self.faults))
    }
}

/// The figures of a play, a line each.
fn told(found: &SimulationReport) -> Result<String, String> {
    let rows = found.rows.iter().map(serde_json::to_string);
    let lines: Result<Vec<String>, _> = rows
        .chain(found.violations.iter().map(serde_json::to_string))
        .collect();
    let mut lines = lines.map_err(|e| e.to_string())?;
    lines.push(
        serde_json::json!({
            "settles": found.settling_s, "unison": found.simultaneous_transitions, "load_below": found.calls_per_first_attempt,
            "broken": found.violations.len(),
        })
        .to_string(),
    );
    Ok(lines.join("\n"))
}

fn search(count: u64, first: u64, to: &Path, beside: usize, of: &Drawn) -> Result<bool, String> {
    let next = AtomicU64::new(first);
    let broken: Mutex<Vec<(u64, String)>> = Mutex::new(vec![]);
    let worst: Mutex<(f64, u64)> = Mutex::new((f64::INFINITY, 0));
    of.draw(first)?;
    std::thread::scope(|scope| {
        for _ in 0..beside.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= first + count {
                        return;
                    }
                    let Ok(history) = of.draw(seed) else { return };
                    let found = simulate(&history, seed);
                    let kept = found.fractions_in_time().iter().sum::<f64>();
                    let mut worst = worst.lock().expect("a figure");
                    if kept < worst.0 {
                        *worst = (kept, seed);
                    }
                    if let Some(b) = found.violations.first() {
                        let what = format!(
                            "{}: {} ({} in all)",
                            b.invariant,
                            b.detail,
                            found.violations.len()
                        );
                        broken.lock().expect("a list").push((seed, what));
                    }
                }
            });
        }
    });
    let mut broken = broken.into_inner().expect("a list");
    broken.sort();
    println!(
        "{count} histories of {} servers, {} faults each: {} broken",
        of.servers,
        of.faults,
        broken.len()
    );
    let worst = worst.into_inner().expect("a figure");
    println!("least kept: seed {}", worst.1);
    if !broken.is_empty() {
        std::fs::create_dir_all(to).map_err(|e| format!("{}: {e}", to.display()))?;
    }
    for (seed, what) in &broken {
        println!("seed {seed}: {what}");
        let path = to.join(format!("{seed}.txt"));
        let text = format!("# seed {seed}: {what}\n{}", of.draw(*seed)?);
        std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    Ok(broken.is_empty())
}

fn compare(one: &Path, other: &Path) -> Result<bool, String> {
    let (a, b) = (text(one)?, text(other)?);
    let sums = |t: &str| -> [f64; 8] {
        let mut sums = [0.0; 8];
        for line in t.lines() {
            let v: serde_json::Value = serde_json::from_str(line).unwrap_or_default();
            for h in 0..3 {
                sums[h] += v["kept"][h].as_f64().unwrap_or(0.0);
                sums[3 + h] += v["asked"][h].as_f64().unwrap_or(0.0);
            }
            sums[6] = f64::max(sums[6], v["peak"].as_f64().unwrap_or(0.0));
            sums[7] += v["bytes"].as_f64().unwrap_or(0.0);
        }
        sums
    };
    let (x, y) = (sums(&a), sums(&b));
    println!("{:<24} {:>12} {:>12}", "", one.display(), other.display());
    for (h, handler) in Handler::ALL.map(Handler::name).iter().enumerate() {
        let part = |s: &[f64; 8]| s[h] / s[3 + h].max(1.0);
        println!(
            "{:<24} {:>12.4} {:>12.4}",
            format!("kept of {handler}"),
            part(&x),
            part(&y)
        );
    }
    println!("{:<24} {:>12} {:>12}", "most in hand below", x[6], y[6]);
    println!("{:<24} {:>12} {:>12}", "bytes between servers", x[7], y[7]);
    println!(
        "{}",
        if a == b {
            "the same to the byte"
        } else {
            "not the same"
        }
    );
    Ok(true)
}

fn order(order: Order) -> Result<bool, String> {
    match order {
        Order::Run { file, seed } => {
            let found = simulate(&history(&file)?, seed);
            println!("{}", told(&found)?);
            Ok(found.violations.is_empty())
        }
        Order::Draw { seed, of } => {
            print!("{}", of.draw(seed)?);
            Ok(true)
        }
        Order::Search {
            count,
            seed,
            to,
            beside,
            of,
        } => search(count, seed, &to, beside, &of),
        Order::Shrink { file, seed } => {
            let history = history(&file)?;
            let Some(rule) = simulate(&history, seed)
                .violations
                .first()
                .map(|b| b.invariant)
            else {
                return Err(format!(
                    "{}: breaks nothing under seed {seed}",
                    file.display()
                ));
            };
            print!("# seed {seed}: {rule}\n{}", shrink(&history, seed, rule));
            Ok(true)
        }
        Order::Table {
            servers,
            beside,
            only,
        } => {
            if servers < 4 {
                return Err("at least four servers are wanted".into());
            }
            println!("{}", fault_mix_table(servers, beside, &only));
            Ok(true)
        }
        Order::Compare { one, other } => compare(&one, &other),
        Order::Report { file, seed, to } => {
            let history = history(&file)?;
            let found = simulate(&history, seed);
            report_folder::write(&to, &history, seed, &found, &told(&found)?)?;
            println!("{}", to.display());
            Ok(true)
        }
    }
}

fn main() -> ExitCode {
    let line = match Line::try_parse() {
        Ok(line) => line,
        Err(e) if e.use_stderr() => {
            eprintln!(
                "madderbay-simulation: {}",
                e.to_string().lines().next().unwrap_or_default()
            );
            return ExitCode::from(2);
        }
        Err(e) => {
            let _ = e.print();
            return ExitCode::SUCCESS;
        }
    };
    match order(line.order) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(what) => {
            eprintln!("madderbay-simulation: {what}");
            ExitCode::from(2)
        }
    }
}
