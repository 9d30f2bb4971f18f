//! Answers operators' queries about the agent, as JSON.

use std::sync::atomic::Ordering;

use serde::Serialize;
use wingbridge_decide::Name;
use wingbridge_spread::MemberState;
use wingbridge_spread::map::key_stamp;
use wingbridge_wire::Entry;

use super::{Exchange, is_config};
use crate::events::AdminQuery;
use crate::views::{BoxView, KeyView, StatusView, TargetView};

impl Exchange {
    pub(super) fn answer(&self, query: AdminQuery) -> String {
        match query {
            AdminQuery::Status => to_json(&self.status()),
            AdminQuery::Targets => {
                let targets = self.proxy_state.targets.iter().map(TargetView::of);
                to_json(&targets.collect::<Vec<_>>())
            }
            AdminQuery::Boxes => to_json(&self.boxes()),
            AdminQuery::Keys { prefix } => to_json(&self.keys(&prefix)),
            AdminQuery::EventTrace => to_json(&self.parts.trace.events()),
        }
    }

    pub(super) fn status(&self) -> StatusView {
        let proxy_connected = self.proxy.as_ref().is_some_and(|queue| !queue.is_closed());
        let not_in_force = self.keys("").into_iter().filter(|key| !key.in_force);
        StatusView {
            box_id: self.parts.identity.box_id.to_string(),
            data_centre: self.parts.identity.data_centre.to_string(),
            complete: self.complete,
            store_reachable: self.store_reachable.unwrap_or(false),
            watches_store: self.parts.store_control.watch.load(Ordering::Acquire),
            proxy_connected,
            proxy_ready: proxy_connected && self.proxy_state.ready,
            suspects_itself: self.suspicion.own_failing(),
            requests_held: self.proxy_state.requests_held,
            boxes_known: self.parts.core.members().len(),
            peers_connected: self.parts.links.connected().count(),
            root: format!("{:016x}", self.parts.core.map().root()),
            not_in_force: not_in_force.map(|key| key.key).collect(),
        }
    }

    pub(super) fn boxes(&self) -> Vec<BoxView> {
        let members = self.parts.core.members().iter();
        let view = |(box_id, member): (&Name, &wingbridge_spread::MemberValue)| BoxView {
            box_id: box_id.to_string(),
            data_centre: member.data_centre.clone(),
            admin: member.admin.clone(),
            leaving: member.state == MemberState::Leaving,
        };
        members.map(view).collect()
    }

    pub(super) fn keys(&self, prefix: &str) -> Vec<KeyView> {
        let entries = self.parts.core.map().entries();
        let entries =
            entries.filter(|entry| is_config(&entry.key) && entry.key.starts_with(prefix));
        let view = |entry: &Entry| {
            let in_force = self.in_force.get(&entry.key) == Some(&entry.stamp);
            KeyView::of(&key_stamp(entry), entry.deleted, in_force)
        };
        entries.map(view).collect()
    }
}

fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_else(|_| "null".into())
}
