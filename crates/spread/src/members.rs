//! Which boxes there are, and the choices that all make alike from the list.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wingbridge_wire::Entry;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::map::SpreadMap;

/// Prefix of a box's key in the map.
pub const BOX_PREFIX: &str = "box/";
/// Fleets up to this size pool evidence over all data centres. Larger ones pool
/// it in each data centre, which there sees enough, and saves the rest its messages.
pub const MAX_POOLING_FLEET: usize = 200;
/// Number of boxes that run the outlier detector of a service in the local data centre. The second one covers for the
/// first while the member list still contains a box that has stopped.
const LOCAL_DETECTORS: usize = 2;
/// Boxes of each data centre that watch the store.
const WATCHERS: usize = 2;

/// A box, as its agent knows itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BoxIdentity {
    /// Its name.
    pub box_id: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
}

/// Whether the platform's list shows a box as live.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// It is live.
    Live,
    /// It will be stopped.
    Leaving,
}

/// What the platform's list says of a box: the value under its key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberValue {
    /// Where its agent takes connections of other agents.
    pub address: String,
    /// Where its agent answers operators.
    pub admin: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its state.
    pub state: MemberState,
}

/// The live boxes, as this one knows them.
#[derive(Debug, Clone, Default)]
pub struct MemberList {
    members: BTreeMap<Arc<str>, MemberValue>,
    by_data_centre: BTreeMap<Arc<str>, Vec<Arc<str>>>,
}

impl MemberList {
    /// Reads the list out of the map. What can't be read is left out.
    pub fn read(map: &SpreadMap) -> MemberList {
        let mut list = MemberList::default();
        for entry in map.live(BOX_PREFIX) {
            if let Some((box_id, member)) = parse_member(entry) {
                list.add(box_id, member);
            }
        }
        list
    }

    /// A box's value.
    pub fn get(&self, box_id: &str) -> Option<&MemberValue> {
        self.members.get(box_id)
    }

    /// All boxes.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &MemberValue)> {
        self.members.iter()
    }

    /// How many they are.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The boxes of one data centre.
    pub fn in_data_centre(&self, data_centre: &str) -> &[Arc<str>] {
        self.by_data_centre.get(data_centre).map_or(&[], Vec::as_slice)
    }

    /// The names of all data centres.
    pub fn data_centres(&self) -> impl Iterator<Item = &Arc<str>> {
        self.by_data_centre.keys()
    }

    /// Returns the boxes that run the outlier detector of `service` for a box in `data_centre`: those of its own data
    /// centre by descending rendezvous weight, then, in a small fleet, one of each other data centre.
    pub fn detectors(&self, service: &str, data_centre: &str) -> Vec<Arc<str>> {
        let mut detectors =
            highest_ranked(self.in_data_centre(data_centre), service, LOCAL_DETECTORS);
        if self.members.len() <= MAX_POOLING_FLEET {
            for (centre, boxes) in &self.by_data_centre {
                if **centre != *data_centre {
                    detectors.extend(highest_ranked(boxes, service, 1));
                }
            }
        }
        detectors
    }

    /// Whether `identity` is one of its data centre's watchers of the store.
    /// A box that the list does not show yet watches for itself.
    pub fn watches(&self, identity: &BoxIdentity) -> bool {
        let boxes = self.in_data_centre(&identity.data_centre);
        let known = boxes.contains(&identity.box_id);
        !known || highest_ranked(boxes, "watch the store", WATCHERS).contains(&identity.box_id)
    }

    /// Boxes that `identity` gossips with: its neighbours on `own` rings of its data
    /// centre and on `all` rings of the whole fleet.
    ///
    /// A ring puts boxes in the order of a hash that changes with its number and with
    /// `epoch`. Rings are symmetric, and one alone connects all boxes; where each box
    /// chose a few others for itself, some box in a hundred would be chosen by nobody.
    pub fn neighbours(
        &self,
        identity: &BoxIdentity,
        epoch: u64,
        own: usize,
        all: usize,
    ) -> Vec<Arc<str>> {
        let mut chosen = Vec::new();
        let mine = self.in_data_centre(&identity.data_centre);
        for ring in 0..own {
            ring_neighbours(mine.iter(), identity, ring_seed("own", ring, epoch), &mut chosen);
        }
        for ring in 0..all {
            let live = self.by_data_centre.values().flatten();
            ring_neighbours(live, identity, ring_seed("all", ring, epoch), &mut chosen);
        }
        chosen
    }

    fn add(&mut self, box_id: Arc<str>, member: MemberValue) {
        if member.state == MemberState::Live {
            let centre = Arc::from(member.data_centre.as_str());
            self.by_data_centre.entry(centre).or_default().push(box_id.clone());
        }
        self.members.insert(box_id, member);
    }
}

/// The `count` members with the highest weights for `subject` (rendezvous hashing):
/// all boxes with the same list choose the same, and the loss of a box moves only its part.
fn highest_ranked(members: &[Arc<str>], subject: &str, count: usize) -> Vec<Arc<str>> {
    let seed = xxh3_64(subject.as_bytes());
    let weight = |member: &Arc<str>| xxh3_64_with_seed(member.as_bytes(), seed);
    let mut ranked: Vec<(u64, &Arc<str>)> = members.iter().map(|id| (weight(id), id)).collect();
    let count = count.min(ranked.len());
    if count == 0 {
        return Vec::new();
    }
    ranked.select_nth_unstable_by(count - 1, |one, other| other.cmp(one));
    ranked.truncate(count);
    ranked.sort_unstable_by(|one, other| other.cmp(one));
    ranked.into_iter().map(|(_, id)| id.clone()).collect()
}

fn ring_seed(kind: &str, ring: usize, epoch: u64) -> u64 {
    xxh3_64(format!("{kind} ring {ring} of {epoch}").as_bytes())
}

/// Adds the box before and the box after `identity` on one ring.
fn ring_neighbours<'a>(
    members: impl Iterator<Item = &'a Arc<str>>,
    identity: &BoxIdentity,
    seed: u64,
    chosen: &mut Vec<Arc<str>>,
) {
    let place = |member: &str| xxh3_64_with_seed(member.as_bytes(), seed);
    let own = place(&identity.box_id);
    let mut after: Option<(u64, &Arc<str>)> = None;
    let mut before: Option<(u64, &Arc<str>)> = None;
    for member in members.filter(|member| **member != identity.box_id) {
        let place = place(member);
        // Distances wrap around, which closes the ring.
        let ahead = place.wrapping_sub(own);
        let behind = own.wrapping_sub(place);
        if after.is_none_or(|(least, _)| ahead < least) {
            after = Some((ahead, member));
        }
        if before.is_none_or(|(least, _)| behind < least) {
            before = Some((behind, member));
        }
    }
    for (_, member) in after.into_iter().chain(before) {
        if !chosen.contains(member) {
            chosen.push(member.clone());
        }
    }
}

fn parse_member(entry: &Entry) -> Option<(Arc<str>, MemberValue)> {
    let box_id = entry.key.strip_prefix(BOX_PREFIX)?;
    let member = serde_json::from_str(&entry.text).ok()?;
    Some((Arc::from(box_id), member))
}
