//! The deploy file says what the platform needs of it, whatever is added to the workspace.

mod common;
#[path = "common/program.rs"]
mod program;

use madderbay_testkit::engine::Engine;
use madderbay_testkit::server::{Dependencies, command, configuration, write_config};
use madderbay_testkit::{WAIT_TIMEOUT, registry};
use object::{Object, ObjectSymbol};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::time::Instant;

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read_file(path: &str) -> String {
    std::fs::read_to_string(workspace_root().join(path)).expect(path)
}

/// What stands behind a key of the deploy file.
fn deploy_value(key: &str) -> String {
    let file = read_file("deploy/balancer.toml");
    let line = file
        .lines()
        .find_map(|l| l.strip_prefix(&format!("{key} = ")));
    line.unwrap_or_else(|| panic!("no {key}")).to_string()
}

/// Folders that a package of the workspace is built from besides its own: what its manifest names by path.
fn collect_path_dependencies(package: &Path, found: &mut BTreeSet<PathBuf>) {
    let manifest = std::fs::read_to_string(package.join("Cargo.toml")).expect("a manifest");
    let dependencies = manifest.split("[dependencies]").nth(1).unwrap_or("");
    let dependencies = dependencies.split("\n[").next().unwrap_or("");
    for path in dependencies
        .lines()
        .filter_map(|l| l.split("path = \"").nth(1)?.split('"').next())
    {
        let other = package.join(path).canonicalize().expect("a package");
        if found.insert(other.clone()) {
            collect_path_dependencies(&other, found);
        }
    }
}

/// `node` names the directory of every package that the program is built from, and `policy` those of the module.
#[test]
fn node_lists_source_folders_of_all_packages() {
    let root = workspace_root().canonicalize().expect("the root");
    let mut found = BTreeSet::from([root.join("crates/server")]);
    collect_path_dependencies(&root.join("crates/server"), &mut found);
    // The module's own package: what decides stands under `policy`, the rest of it decides nothing.
    assert!(found.remove(&root), "the program is built from the module");
    let (node, policy) = (deploy_value("node"), deploy_value("policy"));
    for package in &found {
        let folder = package.strip_prefix(&root).expect("inside").join("src");
        assert!(
            node.contains(&format!("\"{}\"", folder.display())),
            "{} is not in node",
            folder.display()
        );
    }
    for named in node
        .split('"')
        .skip(1)
        .step_by(2)
        .chain(policy.split('"').skip(1).step_by(2))
    {
        assert!(root.join(named).exists(), "{named} is named and not there");
    }
}

/// `run` ends in the program itself, one process, linked against the C library by the machine's loader.
#[test]
fn run_starts_one_dynamically_linked_process() {
    let run = deploy_value("run");
    let run = run.split('"').nth(1).expect("a command");
    assert!(run.starts_with("exec target/release/madderbay"), "{run}");
    assert!(!run.contains([';', '&', '|']), "{run} is one command");
    let program = program::program();
    let image = std::fs::read(program).expect("the program");
    let loader = b"/ld-linux";
    assert!(
        image.windows(loader.len()).any(|w| w == loader),
        "no loader is named in the program"
    );
    assert_shell_becomes_program(program);
}

/// Started by a shell, as the platform does it, the program replaces the shell's process and starts no other.
fn assert_shell_becomes_program(program: &Path) {
    let engine = Engine::start(1.0, vec![], 1);
    let (registry, _reports) = registry::start();
    let others = Dependencies {
        engine: engine.address,
        registry,
        catalogue: engine.address,
    };
    let path = write_config(&configuration(
        "127.0.0.1:0",
        others,
        128,
        800,
        common::SETTINGS,
    ));
    let mut shell = command(Path::new("/bin/sh"), Some(&path));
    let mut child = shell
        .arg("-c")
        .arg(format!("exec {}", program.display()))
        .spawn()
        .expect("a shell");
    let began = Instant::now();
    let proc = PathBuf::from(format!("/proc/{}", child.id()));
    while std::fs::read_link(proc.join("exe")).ok().as_deref() != Some(program) {
        assert!(
            began.elapsed() < WAIT_TIMEOUT,
            "the shell does not become the program"
        );
        std::thread::yield_now();
    }
    let threads = std::fs::read_dir(proc.join("task")).expect("its threads");
    for thread in threads.flatten() {
        let children = std::fs::read_to_string(thread.path().join("children")).unwrap_or_default();
        assert_eq!(children.trim(), "", "it has started another process");
    }
    let _ = child.kill();
    let _ = child.wait();
    let _ = std::fs::remove_file(path);
}

/// The operator file that `run` names is complete, turns on pools and the reserve, without which a trip book that
/// slows down is taken for a crowded one, and holds nothing that needs a listener, a disk or others.
#[test]
fn run_names_operator_file_that_platform_allows() {
    let run = deploy_value("run");
    let named = run
        .split('"')
        .nth(1)
        .and_then(|r| r.split("--operator ").nth(1))
        .map(str::trim);
    let named = named.expect("an operator file");
    let operator = madderbay_operator_config::read(named, &read_file(named)).expect("a good file");
    let pools = operator.concurrency.expect("pools are on");
    assert!(pools.adaptive && pools.reserve.is_some());
    assert_eq!(
        (
            operator.membership,
            operator.control_socket,
            operator.idempotency_store,
            operator.quota
        ),
        (None, None, None, None)
    );
}

/// What the platform refuses the program can't ask for by the C library: it wants none of these symbols.
#[test]
fn imports_no_forbidden_symbol_from_c_library() {
    let image = std::fs::read(program::program()).expect("the program");
    let file = object::File::parse(image.as_slice()).expect("an object file");
    let symbols: BTreeSet<&str> = file
        .dynamic_symbols()
        .filter_map(|s| s.name().ok())
        .collect();
    let imports = |symbol: &str| symbols.contains(symbol);
    assert!(imports("epoll_wait"), "symbols are found as they should");
    let forbidden = [
        "fork",
        "vfork",
        "posix_spawn",
        "posix_spawnp",
        "execve",
        "splice",
        "sendfile",
        "sendfile64",
    ];
    for symbol in forbidden
        .into_iter()
        .chain(["io_uring_setup", "io_uring_enter"])
    {
        assert!(!imports(symbol), "{symbol} is wanted");
    }
}
