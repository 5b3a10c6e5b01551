//! The deploy file `deploy/balancer.toml` names what the platform needs, whatever is added to the workspace.

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

/// Returns the value of a key of the deploy file, as it is written there.
fn deploy_value(key: &str) -> String {
    let file = read_file("deploy/balancer.toml");
    let line = file
        .lines()
        .find_map(|l| l.strip_prefix(&format!("{key} = ")));
    line.unwrap_or_else(|| panic!("no {key}")).to_string()
}

/// Collects the folders of all packages that a package is built from, as its manifest names them by path.
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

/// `node` names the source folder of every package that the program is built from, except the decision module. All
/// files and folders that `node` and `policy` name exist.
#[test]
fn node_lists_source_folders_of_all_packages() {
    let root = workspace_root().canonicalize().expect("the root");
    let mut found = BTreeSet::from([root.join("crates/server")]);
    collect_path_dependencies(&root.join("crates/server"), &mut found);
    // The package of the decision module: its decision logic is listed under `policy`, the rest of it decides nothing.
    assert!(found.remove(&root), "the program is built from the module");
    let (node, policy) = (deploy_value("node"), deploy_value("policy"));
    for package in &found {
        let folder = package
            .strip_prefix(&root)
            .expect("a path within the workspace")
            .join("src");
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

/// `run` starts the program as a single process, which the machine's loader links dynamically with the C library.
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
        "the program names no loader"
    );
    assert_shell_becomes_program(program);
}

/// Starts the program by a shell, as the platform does. Asserts that it replaces the shell's process and starts no
/// other process.
fn assert_shell_becomes_program(program: &Path) {
    let engine = Engine::start(1.0, vec![], 1);
    let (registry, _reports) = registry::start();
    let dependencies = Dependencies {
        engine: engine.address,
        registry,
        catalogue: engine.address,
    };
    let path = write_config(&configuration(
        "127.0.0.1:0",
        dependencies,
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
            "the program does not replace the shell's process"
        );
        std::thread::yield_now();
    }
    let threads = std::fs::read_dir(proc.join("task")).expect("its threads");
    for thread in threads.flatten() {
        let children = std::fs::read_to_string(thread.path().join("children")).unwrap_or_default();
        assert_eq!(
            children.trim(),
            "",
            "the program has started another process"
        );
    }
    let _ = child.kill();
    let _ = child.wait();
    let _ = std::fs::remove_file(path);
}

/// The operator file that `run` names is valid, enables pools and the reserve, and enables nothing that needs a
/// listener, a disk or other servers. Without pools and the reserve, an upstream that slows down would be mistaken for
/// an overloaded one.
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

/// The program imports no symbol of the C library for a system call that the platform refuses, so it cannot make such a
/// call through it.
#[test]
fn imports_no_forbidden_symbol_from_c_library() {
    let image = std::fs::read(program::program()).expect("the program");
    let file = object::File::parse(image.as_slice()).expect("an object file");
    let symbols: BTreeSet<&str> = file
        .dynamic_symbols()
        .filter_map(|s| s.name().ok())
        .collect();
    let imports = |symbol: &str| symbols.contains(symbol);
    assert!(imports("epoll_wait"), "no imported symbol is found");
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
        assert!(!imports(symbol), "{symbol} is imported");
    }
}
