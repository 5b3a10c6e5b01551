//! The names of the handlers and tenants that the fleet's counters count. The keys of a counter are either handlers or
//! tenants; in datagrams, a key is represented by the hash of its name.

use madderbay::interface::{HandlerId, TenantId};
use madderbay_quota::{CounterId, name_hash};

/// The names of handlers and tenants, and for each counter which of the two are its keys.
#[derive(Clone, Debug, Default)]
pub struct CounterNames {
    handlers: Vec<KeyName>,
    tenants: Vec<KeyName>,
    /// Tenant quota of each tenant over the whole fleet, in requests per second.
    tenant_quotas: Vec<f64>,
    /// Number of servers in the fleet.
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

/// The handler or tenant whose requests a key of a counter counts.
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
    /// The handler or tenant that it stands for.
    pub subject: CountedSubject,
    /// Its name.
    pub name: &'a str,
    /// The hash of its name.
    pub hash: u32,
    /// Rate that one server counts on average if the tenant's quota is divided equally over the servers, in requests
    /// per second; 0 for a handler.
    pub fair_rate: f64,
}

impl CounterNames {
    /// Creates the names for a fleet of `servers` servers. `tenant_quotas` has one entry for each of `tenants`, in
    /// requests per second over the whole fleet. `by_tenant` has one entry for each counter: whether its keys are
    /// tenants.
    pub fn new(
        handlers: &[String],
        tenants: &[String],
        tenant_quotas: Vec<f64>,
        servers: u32,
        by_tenant: Vec<bool>,
    ) -> CounterNames {
        CounterNames {
            handlers: handlers.iter().map(|n| KeyName::new(n)).collect(),
            tenants: tenants.iter().map(|n| KeyName::new(n)).collect(),
            tenant_quotas,
            servers,
            by_tenant,
        }
    }

    /// Returns all keys of a counter in the order of their indices.
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

    /// Returns, for each counter, the hash of the key under which it counts a request.
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

    /// Returns the first counter whose keys are tenants.
    pub(super) fn tenant_counter(&self) -> Option<CounterId> {
        let index = self.by_tenant.iter().position(|by_tenant| *by_tenant);
        index.map(CounterId::new)
    }

    /// Returns the quota of a tenant over the whole fleet, in requests per second.
    pub(super) fn tenant_quota(&self, tenant: TenantId) -> f64 {
        self.tenant_quotas[tenant.index()]
    }

    /// Returns the number of servers in the fleet.
    pub(super) fn servers(&self) -> u32 {
        self.servers
    }

    /// Returns a tenant's quota divided equally over the servers.
    fn fair_rate(&self, tenant: TenantId) -> f64 {
        let quota = self.tenant_quotas.get(tenant.index()).copied();
        quota.unwrap_or(0.0) / f64::from(self.servers.max(1))
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
