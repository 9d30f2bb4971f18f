//! The configuration in force: an immutable snapshot that all requests share.

use std::collections::HashMap;
use std::sync::{Arc, PoisonError, RwLock};

use wingbridge_config::{
    OVERRIDES_PREFIX, POLICY_PREFIX, RouteTable, SERVICE_PREFIX, ServiceConfig, parse_overrides,
    parse_service,
};
use wingbridge_decide::{BoxEvent, ManualOverride, Name};
use wingbridge_policy::PolicyProgram;
use wingbridge_wire::{Entry, KeyStamp, Stamp};

/// The configuration by which requests are planned.
#[derive(Debug, Default)]
pub(crate) struct ConfigSnapshot {
    services: HashMap<Name, ServiceConfig>,
    policies: HashMap<String, PolicyProgram>,
    routes: RouteTable,
}

impl ConfigSnapshot {
    /// Returns the service that the route of `path` leads to, with its policy if that is
    /// configured.
    pub(crate) fn policy_for(
        &self,
        path: &str,
    ) -> Option<(&ServiceConfig, Option<&PolicyProgram>)> {
        let service = self.services.get(self.routes.find(path)?)?;
        Some((service, self.policies.get(&service.policy)))
    }
}

/// The snapshot in force, which all requests share.
#[derive(Debug, Clone, Default)]
pub(crate) struct ActiveConfig {
    snapshot: Arc<RwLock<Option<Arc<ConfigSnapshot>>>>,
}

impl ActiveConfig {
    /// Returns the snapshot, or `None` until the box has received a complete configuration.
    pub(crate) fn get(&self) -> Option<Arc<ConfigSnapshot>> {
        self.snapshot.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn set(&self, snapshot: ConfigSnapshot) {
        let snapshot = Some(Arc::new(snapshot));
        *self.snapshot.write().unwrap_or_else(PoisonError::into_inner) = snapshot;
    }
}

/// Applies entries, keeping the highest version of each key, and builds snapshots.
#[derive(Debug, Default)]
pub(crate) struct ConfigBuilder {
    stamps: HashMap<String, Stamp>,
    services: HashMap<Name, ServiceConfig>,
    policies: HashMap<String, PolicyProgram>,
    overrides: HashMap<Name, Vec<ManualOverride>>,
}

/// The effects of entries that were applied.
#[derive(Debug, Default)]
pub(crate) struct ConfigChange {
    /// Events for the core.
    pub(crate) events: Vec<BoxEvent>,
    /// Keys and versions that are now in force.
    pub(crate) in_force: Vec<KeyStamp>,
    /// Keys with an invalid value, with the reason. The previous value stays in force.
    pub(crate) refused: Vec<(String, String)>,
}

impl ConfigBuilder {
    /// Applies entries. Versions lower than the one in force are ignored.
    pub(crate) fn apply(&mut self, entries: &[Entry]) -> ConfigChange {
        let mut change = ConfigChange::default();
        for entry in entries {
            if self.stamps.get(&entry.key).is_some_and(|stamp| *stamp > entry.stamp) {
                continue;
            }
            match self.apply_entry(entry, &mut change.events) {
                Ok(()) => {
                    self.stamps.insert(entry.key.clone(), entry.stamp.clone());
                    let stamp = entry.stamp.clone();
                    change.in_force.push(KeyStamp { key: entry.key.clone(), stamp });
                }
                Err(reason) => change.refused.push((entry.key.clone(), reason)),
            }
        }
        change
    }

    /// Puts the services, policies and routes in force.
    pub(crate) fn publish(&self, active: &ActiveConfig) {
        let routes = self.services.values().flat_map(|service| {
            let name = &service.setup.name;
            service.routes.iter().map(move |route| (route.as_str(), name.clone()))
        });
        active.set(ConfigSnapshot {
            routes: RouteTable::new(routes),
            services: self.services.clone(),
            policies: self.policies.clone(),
        });
    }

    fn apply_entry(&mut self, entry: &Entry, events: &mut Vec<BoxEvent>) -> Result<(), String> {
        if let Some(name) = entry.key.strip_prefix(SERVICE_PREFIX) {
            return self.apply_service(name, entry, events);
        }
        if let Some(name) = entry.key.strip_prefix(POLICY_PREFIX) {
            return self.apply_policy(name, entry);
        }
        if let Some(name) = entry.key.strip_prefix(OVERRIDES_PREFIX) {
            return self.apply_overrides(name, entry, events);
        }
        Err("no such kind of key".into())
    }

    fn apply_service(
        &mut self,
        name: &str,
        entry: &Entry,
        events: &mut Vec<BoxEvent>,
    ) -> Result<(), String> {
        if entry.deleted {
            self.services.remove(name);
            events.push(BoxEvent::ServiceRemoved(name.into()));
            return Ok(());
        }
        let service = parse_service(&entry.text).map_err(|error| error.to_string())?;
        if *service.setup.name != *name {
            return Err(format!("it configures the service '{}'", service.setup.name));
        }
        let name = service.setup.name.clone();
        events.push(BoxEvent::ServiceConfigured(service.setup.clone()));
        if let Some(overrides) = self.overrides.get(&name) {
            // Overrides may be received before the service, or name a target that is added to it
            // later.
            let overrides = overrides.clone();
            events.push(BoxEvent::OverridesSet { service: name.clone(), overrides });
        }
        self.services.insert(name, service);
        Ok(())
    }

    fn apply_policy(&mut self, name: &str, entry: &Entry) -> Result<(), String> {
        if entry.deleted {
            self.policies.remove(name);
            return Ok(());
        }
        let policy = PolicyProgram::compile(&entry.text).map_err(|fault| fault.to_string())?;
        self.policies.insert(name.to_string(), policy);
        Ok(())
    }

    fn apply_overrides(
        &mut self,
        name: &str,
        entry: &Entry,
        events: &mut Vec<BoxEvent>,
    ) -> Result<(), String> {
        let overrides = if entry.deleted {
            Vec::new()
        } else {
            parse_overrides(&entry.text).map_err(|error| error.to_string())?
        };
        self.overrides.insert(name.into(), overrides.clone());
        events.push(BoxEvent::OverridesSet { service: name.into(), overrides });
        Ok(())
    }
}
