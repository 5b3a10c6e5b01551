//! What all cases share: the stand-ins, the files of the server, and its start with the command of the deploy file.

use crate::engine::{Engine, Work};
use crate::peers::{Catalogue, registry};
use crate::server::{Peers, Server, free_address, write_config};
use crate::world::World;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Settings like those of `deploy/example.json`. The words in capitals are replaced.
pub const SETTINGS: &str = r#"{
  "classes": [
   {"name": "search", "aim_us": 2000000, "hard_limit_us": 8000000, "importance": 1.0, "effect": "read_like"},
   {"name": "book", "aim_us": 4000000, "hard_limit_us": 8000000, "importance": 3.0,
    "effect": "idempotency_key", "repeat_window_us": 30000000}],
  "tenants": [{"name": "acme", "allowance_per_s": 500.0}],
  "family_info": {"n_cores": 4, "memory_kb": 10000.0, "blowup": 4.0, "key_kb": 1.0, "preemption": "freeze",
   "below": "one_for_all", "dep_share": 5.0, "share_span_us": 5000000, "linger_us": 200000,
   "class_calls": [true, BOOK_CALLS], "class_skip_worth": [0.6, 0.0], "passes_deadline": true, "readiness": true,
   "say": "allowance", "upstreams": 3, "keepalive_max_us": 30000000,
   "meters": ["core_use", "on_cores", "heap_share", "links"]},
  "permissions": {"retry_after": true, "max_retry_after_us": 1000000},
  "rules": {"tip_multiple": 5.0, "drain_grace_us": 2000000}, "servers": 4}"#;

/// The parts that the deploy file's operator file switches on.
const OPERATOR: &str = "[pools]\nenabled = on\n\n[reserve]\npart = 0.1\n";

/// One server with its stand-ins.
pub struct Setup {
    pub world: World,
    pub folder: PathBuf,
    pub engine: Engine,
    pub catalogue: Catalogue,
    pub listen: SocketAddr,
    config: PathBuf,
    operator: PathBuf,
    registry: SocketAddr,
    settings: String,
}

impl Setup {
    /// Starts the stand-ins and writes the files. `book_calls` tells whether the class with keys makes calls,
    /// `operator` is added to the operator file; `FOLDER` in it is replaced by the temporary folder.
    pub fn new(work: Work, book_calls: bool, operator: &str) -> Setup {
        let world = World::new();
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(folder.join("kept")).expect("a temporary folder");
        let engine = Engine::start(&world, "127.0.0.1:0", 1, work);
        let catalogue = Catalogue::start(&world, 2);
        let setup = Setup {
            registry: registry(&world),
            config: folder.join("config.json"),
            operator: folder.join("operator.ini"),
            settings: SETTINGS.replace("BOOK_CALLS", if book_calls { "true" } else { "false" }),
            listen: free_address(),
            engine,
            catalogue,
            world,
            folder,
        };
        let operator = operator.replace("FOLDER", &setup.folder.display().to_string());
        std::fs::write(&setup.operator, format!("{OPERATOR}\n{operator}"))
            .expect("the operator file is written");
        setup
    }

    /// Starts the server and waits until it serves. Returns nothing if it does not.
    pub fn start(&mut self) -> Option<Server> {
        for _ in 0..3 {
            let peers = Peers {
                engine: self.engine.address,
                registry: self.registry,
                catalogue: self.catalogue.address,
            };
            write_config(&self.config, self.listen, peers, 3200, &self.settings);
            let log = self.folder.join("log");
            let mut server =
                Server::start(&self.world, &self.config, &self.operator, self.listen, &log);
            if server.wait_listening() {
                // The server attaches to its engine.
                std::thread::sleep(Duration::from_millis(500));
                return Some(server);
            }
            self.listen = free_address();
        }
        None
    }
}

impl Drop for Setup {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
