//! Formats the contents of a directory of durable results as lines for the command line.
//!
//! The directory is neither changed nor locked, because a server may be using it.

use madderbay_idempotency_store::StoreError;
use madderbay_idempotency_store::recovery::{RecoveredRun, Recovery, RunState, recover};
use madderbay_idempotency_store::storage::DirectoryStorage;
use madderbay_idempotency_store::verify;
use std::path::{Path, PathBuf};

/// A directory of durable results can't be read.
#[derive(Debug, thiserror::Error)]
#[error("{}: {source}", directory.display())]
pub(crate) struct InspectionError {
    directory: PathBuf,
    source: StoreError,
}

/// Returns one line for each request with an idempotency key, in the order of keys, and a last line with the totals.
pub(crate) fn list(directory: &Path) -> Result<Vec<String>, InspectionError> {
    let recovery = read(directory)?;
    let mut lines: Vec<_> = sorted_runs(&recovery)
        .map(|(key, run)| list_line(key, run))
        .collect();
    lines.push(format!(
        "{} keyed reqs in {} records, {} segments, {} torn bytes",
        recovery.runs.len(),
        recovery.records,
        recovery.segments,
        recovery.torn_bytes
    ));
    Ok(lines)
}

/// Returns one line of JSON for each request with an idempotency key, in the order of keys.
pub(crate) fn export(directory: &Path) -> Result<Vec<String>, InspectionError> {
    let recovery = read(directory)?;
    let runs = sorted_runs(&recovery);
    Ok(runs.map(|(key, run)| export_line(key, run)).collect())
}

/// Returns one line for each defect.
pub(crate) fn verify(directory: &Path) -> Result<Vec<String>, InspectionError> {
    let storage = DirectoryStorage::open_read_only(directory);
    let defects = verify::verify(&storage).map_err(|source| failed(directory, source))?;
    Ok(defects.iter().map(ToString::to_string).collect())
}

/// Replays all log segments of a directory.
fn read(directory: &Path) -> Result<Recovery, InspectionError> {
    let storage = DirectoryStorage::open_read_only(directory);
    recover(&storage).map_err(|source| failed(directory, source))
}

fn failed(directory: &Path, source: StoreError) -> InspectionError {
    let directory = directory.into();
    InspectionError { directory, source }
}

/// Returns all runs in the order of their keys.
fn sorted_runs(recovery: &Recovery) -> impl Iterator<Item = (u128, &RecoveredRun)> {
    let mut runs: Vec<_> = recovery.runs.iter().map(|(key, run)| (*key, run)).collect();
    runs.sort_by_key(|(key, _)| *key);
    runs.into_iter()
}

/// Formats key, state, expiry and size of the result.
fn list_line(key: u128, run: &RecoveredRun) -> String {
    let size = result(run).map_or(0, <[u8]>::len);
    let expires_at_ms = run.expires_at_micros / 1000;
    format!(
        "{key:032x} {} until {expires_at_ms} ms, {size} bytes",
        state_word(&run.state)
    )
}

/// Formats a run as JSON. The keys are fixed because operators' scripts read them.
fn export_line(key: u128, run: &RecoveredRun) -> String {
    serde_json::json!({
        "key": format!("{key:032x}"),
        "state": state_word(&run.state),
        "until_ms": run.expires_at_micros / 1000,
        "print": format!("{:016x}", run.request_hash),
        "ref": String::from_utf8_lossy(&run.attempt_id),
        "result": result(run).map(String::from_utf8_lossy),
    })
    .to_string()
}

/// Returns the word for a state, as used in lines and in JSON.
fn state_word(state: &RunState) -> &'static str {
    match state {
        RunState::MayHaveRun => "may-have-run",
        RunState::Completed(_) => "done",
        RunState::NoResult => "errored",
    }
}

/// Returns the result of a completed run.
fn result(run: &RecoveredRun) -> Option<&[u8]> {
    match &run.state {
        RunState::Completed(result) => Some(result),
        RunState::MayHaveRun | RunState::NoResult => None,
    }
}
