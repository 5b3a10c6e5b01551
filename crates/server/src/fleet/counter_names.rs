//! The names of what the fleet's counters count. A counter goes by handlers or by tenants; on the wire, a key is the
//! hash of its name.

use madderbay::interface::{HandlerId, TenantId};
use madderbay_quota::{CounterId, name_hash};

/// The names of handlers and tenants, and which counters go by which.
#[derive(Clone, Debug, Default)]
pub struct CounterNames {
    handlers: Vec<KeyName>,
    tenants: Vec<KeyName>,
    /// The allowance of each tenant over the fleet, in requests a second.
    tenant_allowances: Vec<f64>,
    /// Servers of the fleet.
    servers: u32,
    /// For each counter, whether its keys are tenants.
    by_tenant: Vec<bool>,
}

/// A name and its hash.
#[derive(Clone, Debug)]
struct KeyName {
    name: String,
    hash: u32,
}

/// What the keys of a counter stand for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CountedSubject {
    /// Requests of a handler.
    Handler(HandlerId),
    /// Requests of a tenant.
    Tenant(TenantId),
}

/// One key of a counter.
#[derive(Clone, Copy, Debug)]
pub struct CounterKey<'a> {
    /// What it stands for.
    pub subject: CountedSubject,
    /// Its name.
    pub name: &'a str,
    /// The hash of its name.
    pub hash: u32,
    /// What one server counts of it in the long run, in requests a second: its fair part of the allowance.
    pub fair_rate: f64,
}

impl CounterNames {
    /// Creates the names of a fleet of `servers` servers. `tenant_allowances`, in requests a second over the fleet, go
    /// with `tenants`; `by_tenant` has an entry for each counter.
    pub fn new(
        handlers: &[String],
        tenants: &[String],
        tenant_allowances: Vec<f64>,
        servers: u32,
        by_tenant: Vec<bool>,
    ) -> CounterNames {
        CounterNames {
            handlers: handlers.iter().map(|n| KeyName::new(n)).collect(),
            tenants: tenants.iter().map(|n| KeyName::new(n)).collect(),
            tenant_allowances,
            servers,
            by_tenant,
        }
    }

    /// All keys of a counter, in the order of their indices.
    pub fn keys(&self, counter: CounterId) -> impl Iterator<Item = CounterKey<'_>> {
        let by_tenant = self.by_tenant[counter.index()];
        let names = if by_tenant {
            &self.tenants
        } else {
            &self.handlers
        };
        names.iter().enumerate().map(move |(index, key)| {
            let subject = if by_tenant {
                CountedSubject::Tenant(TenantId::new(index))
            } else {
                CountedSubject::Handler(HandlerId::new(index))
            };
            self.key(subject, key)
        })
    }

    fn key<'a>(&self, subject: CountedSubject, key: &'a KeyName) -> CounterKey<'a> {
        CounterKey {
            subject,
            name: &key.name,
            hash: key.hash,
            fair_rate: match subject {
                CountedSubject::Tenant(tenant) => self.fair_rate(tenant),
                CountedSubject::Handler(_) => 0.0,
            },
        }
    }

    /// For each counter, the hash of the key under which it counts a request.
    pub(super) fn hashes_of_request(
        &self,
        handler: HandlerId,
        tenant: TenantId,
    ) -> impl Iterator<Item = Option<u32>> {
        self.by_tenant.iter().map(move |by_tenant| {
            let key = if *by_tenant {
                self.tenants.get(tenant.index())
            } else {
                self.handlers.get(handler.index())
            };
            key.map(|key| key.hash)
        })
    }

    /// The first counter whose keys are tenants.
    pub(super) fn tenant_counter(&self) -> Option<CounterId> {
        let index = self.by_tenant.iter().position(|by_tenant| *by_tenant);
        index.map(CounterId::new)
    }

    /// The allowance of a tenant over the fleet, in requests a second.
    pub(super) fn tenant_allowance(&self, tenant: TenantId) -> f64 {
        self.tenant_allowances[tenant.index()]
    }

    /// Servers of the fleet.
    pub(super) fn servers(&self) -> u32 {
        self.servers
    }

    /// The allowance of a tenant, divided equally over the servers.
    fn fair_rate(&self, tenant: TenantId) -> f64 {
        let allowance = self.tenant_allowances.get(tenant.index()).copied();
        allowance.unwrap_or(0.0) / f64::from(self.servers.max(1))
    }
}

impl KeyName {
    fn new(name: &str) -> KeyName {
        KeyName {
            name: name.into(),
            hash: name_hash(name),
        }
    }
}
