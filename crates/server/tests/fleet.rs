//! The scripts of faults under `tests/fleet` on real processes, whose datagrams pass through relays.

mod common;

use madderbay_testkit::engine::HandlerWork;
use madderbay_testkit::fleet::processes::ProcessFleet;
use madderbay_testkit::fleet::script::{Action, Script, Step, load_scripts, run_script};
use std::path::Path;

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_madderbay"))
}

fn works() -> Vec<HandlerWork> {
    let of = |handler: &str, calls| HandlerWork {
        handler: handler.into(),
        ms: (2.0, 6.0),
        calls,
    };
    vec![of("search", true), of("quote", false), of("book", true)]
}

/// What counts in simulated time, or of all views together, is simulated only.
fn real_scripts() -> Vec<(String, Script)> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/fleet");
    let real = |s: &Script| {
        s.steps.iter().all(|s| {
            !matches!(
                s.1,
                Step::Action(Action::For(_)) | Step::Action(Action::Downs(_))
            )
        })
    };
    load_scripts(&folder)
        .into_iter()
        .filter(|s| real(&s.1))
        .collect()
}

/// All at once, some at a time, so that the machine's cores are never the fault that is tested.
#[test]
fn every_script_on_real_processes() {
    let scripts = real_scripts();
    let next = std::sync::atomic::AtomicUsize::new(0);
    let failed = std::sync::Mutex::new(vec![]);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                loop {
                    let at = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    let Some((name, script)) = scripts.get(at) else {
                        return;
                    };
                    let mut stand = ProcessFleet::new(
                        script.setup.clone(),
                        program(),
                        common::SETTINGS,
                        &works(),
                        at as u64,
                    );
                    if let Err(what) = run_script(script, &mut stand) {
                        failed
                            .lock()
                            .expect("a list")
                            .push(format!("{name}: {what}"));
                    }
                }
            });
        }
    });
    let failed = failed.into_inner().expect("a list");
    assert!(
        failed.is_empty(),
        "{} scripts failed:\n{}",
        failed.len(),
        failed.join("\n")
    );
}
