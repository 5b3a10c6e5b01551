//! A repository in a temporary folder, with the script and a stub of `cargo`, and the result of a run of the script.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{PoisonError, RwLock};

/// Stub of `cargo`. Appends its arguments to the file `calls`. It knows the tests in the file `tests`; those in
/// `failing` fail, and those in `ignored` are not run. It fails to list the tests if there is a file `broken`.
const STUB_CARGO: &str = r#"#!/usr/bin/env bash
cd "$(dirname "$0")"
printf '[%s]' "$@" >> calls
echo >> calls
case "$*" in
  'test --workspace --quiet -- --list')
    [ ! -e broken ] || exit 101
    sed 's/$/: test/' tests
    echo 'benches::not_a_test: benchmark' ;;
  'test --workspace --quiet -- --exact '*)
    if grep -qFx -- "$6" failing; then
      echo 'test result: FAILED. 0 passed; 1 failed;'
      exit 101
    fi
    if grep -qFx -- "$6" ignored; then
      echo 'test result: ok. 0 passed; 0 failed; 1 ignored;'
    else
      echo 'test result: ok. 1 passed; 0 failed; 0 ignored;'
    fi ;;
  'test --workspace'|'test --workspace -- --exact --skip '*)
    while IFS= read -r failing; do
      for skipped in "$@"; do
        [ "$skipped" != "$failing" ] || continue 2
      done
      exit 101
    done < failing ;;
  *) exit 64 ;;
esac
"#;

/// The tests that the stub knows. Two test programs have a test of the same name, `every_script`.
const KNOWN_TESTS: &str = "budget::holds\nbudget::holds_after_crash\nevery_script\nevery_script\n\
    src/lib.rs - limits (line 12)\nshutdown::drains\nstartup::binds\n";
pub(crate) const TWO_ENTRIES: &str = "# first the fleet\n\
    budget::holds | cargo test -p x -- --seed 7, twice | 5 calls, not 4 | #12\n\n\
    shutdown::drains | SEED=3 make test | hung | #13\n";
/// The tests of [`TWO_ENTRIES`].
pub(crate) const TWO_TESTS: &str = "budget::holds\nshutdown::drains\n";
pub(crate) const LIST_TESTS_CALL: &str = "[test][--workspace][--quiet][--][--list]";

/// Locked for reading while executable files are written, and for writing while a process is started. Otherwise a
/// process that is started in the meantime would have the files open, too, until it executes its own program, and a
/// file that is open for writing cannot be executed.
static EXECUTABLES: RwLock<()> = RwLock::new(());

/// Starts a process while no executable file is being written, and waits for its end.
pub(crate) fn run_to_completion(command: &mut Command) -> Output {
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    let child = {
        let _guard = EXECUTABLES.write().unwrap_or_else(PoisonError::into_inner);
        command.spawn()
    };
    let child = child.expect("the process starts");
    child.wait_with_output().expect("the process ends")
}

/// A repository with the script and a stub of `cargo`. It is removed when it is dropped.
pub(crate) struct Repository {
    pub(crate) root: PathBuf,
}

impl Repository {
    pub(crate) fn new() -> Repository {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("madderbay-known-red-{}-{number}", std::process::id());
        let root = std::env::temp_dir().join(name);
        for folder in [".ci", "bin"] {
            fs::create_dir_all(root.join(folder)).expect("a directory");
        }
        let _guard = EXECUTABLES.read().unwrap_or_else(PoisonError::into_inner);
        let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/tests");
        fs::copy(script, root.join(".ci/tests")).expect("the script");
        let repository = Repository { root };
        repository.write("bin/cargo", STUB_CARGO);
        let executable = fs::Permissions::from_mode(0o755);
        fs::set_permissions(repository.root.join("bin/cargo"), executable)
            .expect("the permissions are set");
        repository.write("bin/tests", KNOWN_TESTS);
        for file in ["failing", "ignored", "calls"] {
            repository.write(&format!("bin/{file}"), "");
        }
        repository
    }

    /// Returns a repository in which `KNOWN-RED.txt` has this text.
    pub(crate) fn with_list(list: &str) -> Repository {
        let repository = Repository::new();
        repository.write("KNOWN-RED.txt", list);
        repository
    }

    /// Lets these tests fail; `tests` has one name per line.
    pub(crate) fn with_failing_tests(self, tests: &str) -> Repository {
        self.write("bin/failing", tests);
        self
    }

    pub(crate) fn write(&self, path: &str, text: &str) {
        fs::write(self.root.join(path), text).expect("the write succeeds");
    }

    /// Runs the script from a folder outside the repository.
    pub(crate) fn run(&self) -> ScriptRun {
        let path = std::env::var("PATH").expect("a path");
        let output = run_to_completion(
            Command::new(self.root.join(".ci/tests"))
                .env(
                    "PATH",
                    format!("{}:{path}", self.root.join("bin").display()),
                )
                .current_dir(std::env::temp_dir()),
        );
        ScriptRun::new(&output, &self.root)
    }
}

impl Drop for Repository {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.root);
    }
}

/// Result of a run of the script.
pub(crate) struct ScriptRun {
    pub(crate) succeeded: bool,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
    /// Arguments of each call of `cargo`, each argument in brackets.
    pub(crate) calls: Vec<String>,
}

impl ScriptRun {
    pub(crate) fn new(output: &Output, root: &Path) -> ScriptRun {
        let calls = fs::read_to_string(root.join("bin/calls")).expect("the calls");
        ScriptRun {
            succeeded: output.status.success(),
            stdout: String::from_utf8(output.stdout.clone()).expect("valid UTF-8"),
            stderr: String::from_utf8(output.stderr.clone()).expect("valid UTF-8"),
            calls: calls.lines().map(String::from).collect(),
        }
    }

    pub(crate) fn assert_ran_all_tests(&self) {
        assert!(self.succeeded, "{}", self.stderr);
        assert_eq!(self.calls, ["[test][--workspace]"]);
        assert_eq!((&*self.stdout, &*self.stderr), ("", ""));
    }
}
