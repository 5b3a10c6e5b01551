//! Executes the commands that servers send to their engines.

use super::Simulation;
use crate::fault::Defect;
use crate::ids::{ServerId, ServerIncarnation};
use crate::upstream::{EngineCommand, EngineNotice};
use crate::workload::{ENGINE_CORES, Handler};

/// Under [`Defect::RepeatedRuns`], requests whose reference ends with this digit run twice.
const REPEATED_REFERENCE_SUFFIX: char = '7';

impl Simulation {
    /// Executes the commands that a server has written to its engine.
    pub(super) fn execute_engine_commands(&mut self, server: ServerId) {
        let target = self.node(server).incarnation();
        let process = self.node_mut(server).process_mut();
        let commands = process.take_engine_commands();
        for command in commands.lines().filter_map(EngineCommand::parse) {
            self.execute(target, command);
        }
    }

    fn execute(&mut self, target: ServerIncarnation, command: EngineCommand) {
        match command {
            EngineCommand::Attach => self.send_notice(target, EngineNotice::Hello.to_line()),
            EngineCommand::Status { cookie } => self.report_engine_status(target, &cookie),
            EngineCommand::Run { request, handler } => self.start_run(target, &request, handler),
            EngineCommand::Resume { request } => {
                let process = self.node_mut(target.server).process_mut();
                process.engine_mut().resume(&request);
            }
            EngineCommand::Halt { request } => self.halt_run(target, &request),
        }
    }

    fn report_engine_status(&mut self, target: ServerIncarnation, cookie: &str) {
        let process = self.node_mut(target.server).process_mut();
        let runs_on_cores = process.engine_mut().runs_on_cores();
        let notice = EngineNotice::Status {
            cookie,
            core_use: (runs_on_cores as f64 / ENGINE_CORES).min(1.0),
            runs_on_cores,
        };
        self.send_notice(target, notice.to_line());
    }

    fn start_run(&mut self, target: ServerIncarnation, request: &str, handler: Handler) {
        let now = self.now;
        let server = target.server;
        let work_s = handler.draw_work_s(&mut self.random);
        let is_repeated = self.history.defect == Some(Defect::RepeatedRuns)
            && request.ends_with(REPEATED_REFERENCE_SUFFIX);
        let runs = 1 + u32::from(is_repeated);
        self.checker
            .count_engine_runs(now, server, handler, request, runs);
        let process = self.node_mut(server).process_mut();
        let engine = process.engine_mut();
        engine.start(now, request, work_s, handler.calls_upstream());
        process.requests_mut().mark_started(request);
    }

    fn halt_run(&mut self, target: ServerIncarnation, request: &str) {
        let now = self.now;
        let process = self.node_mut(target.server).process_mut();
        let engine = process.engine_mut();
        let Some(started_at) = engine.cancel(request) else {
            return;
        };
        let notice = EngineNotice::Halted {
            serial: engine.next_serial(),
            request,
            run_time: now - started_at,
        };
        self.send_notice(target, notice.to_line());
    }
}
