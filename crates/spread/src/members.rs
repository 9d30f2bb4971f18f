//! The member list, and the choices that all boxes make in the same way from it.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wingbridge_wire::Entry;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::map::SpreadMap;

/// Prefix of the keys of boxes in the map.
pub const BOX_PREFIX: &str = "box/";
/// Maximum size of a fleet whose evidence is pooled over all data centres. In a larger fleet each
/// data centre pools its own, which is enough evidence there and saves messages between data
/// centres.
pub const MAX_POOLING_FLEET: usize = 200;
/// Number of boxes that run the outlier detector of a service in the local data centre. The second
/// one covers for the first while the member list still contains a box that has stopped.
const LOCAL_DETECTORS: usize = 2;
/// Number of boxes of each data centre that watch the store.
const WATCHERS: usize = 2;

/// Identity of a box.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BoxIdentity {
    /// Id of the box.
    pub box_id: Arc<str>,
    /// Data centre of the box.
    pub data_centre: Arc<str>,
}

/// State of a box on the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// The box is live.
    Live,
    /// The box is about to be stopped.
    Leaving,
}

/// Data of a box on the platform's list: the value under the key of the box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberValue {
    /// Address on which its agent accepts connections of other agents.
    pub address: String,
    /// Address on which its agent serves operators.
    pub admin: String,
    /// Data centre of the box.
    pub data_centre: String,
    /// State of the box.
    pub state: MemberState,
}

/// The boxes that are on the platform's list, with the live ones of each data centre.
#[derive(Debug, Clone, Default)]
pub struct MemberList {
    members: BTreeMap<Arc<str>, MemberValue>,
    by_data_centre: BTreeMap<Arc<str>, Vec<Arc<str>>>,
}

impl MemberList {
    /// Reads the member list from the map. Values that can't be parsed are skipped.
    pub fn read(map: &SpreadMap) -> MemberList {
        let mut list = MemberList::default();
        for entry in map.live(BOX_PREFIX) {
            if let Some((box_id, member)) = parse_member(entry) {
                list.add(box_id, member);
            }
        }
        list
    }

    /// Returns the data of a box.
    pub fn get(&self, box_id: &str) -> Option<&MemberValue> {
        self.members.get(box_id)
    }

    /// Returns all boxes, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &MemberValue)> {
        self.members.iter()
    }

    /// Returns the number of boxes.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether the list is empty.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the live boxes of a data centre.
    pub fn in_data_centre(&self, data_centre: &str) -> &[Arc<str>] {
        self.by_data_centre.get(data_centre).map_or(&[], Vec::as_slice)
    }

    /// Returns the names of all data centres with live boxes.
    pub fn data_centres(&self) -> impl Iterator<Item = &Arc<str>> {
        self.by_data_centre.keys()
    }

    /// Returns the boxes that run the outlier detector of `service` for a box in `data_centre`:
    /// boxes of the same data centre by descending rendezvous weight, then, in a small fleet, one of
    /// each other data centre.
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

    /// Returns whether `identity` is one of the boxes of its data centre that watch the store. A
    /// box that is not on the list yet also watches it.
    pub fn watches(&self, identity: &BoxIdentity) -> bool {
        let boxes = self.in_data_centre(&identity.data_centre);
        let listed = boxes.contains(&identity.box_id);
        !listed || highest_ranked(boxes, "watch the store", WATCHERS).contains(&identity.box_id)
    }

    /// Returns the boxes that `identity` gossips with: its neighbours on `local` rings of its data
    /// centre and on `global` rings of the fleet.
    ///
    /// A ring orders boxes by a hash that depends on the number of the ring and on `epoch`. Rings
    /// are symmetric, and a single ring connects all boxes. If each box chose a few others at
    /// random, about one box in a hundred would be chosen by no other.
    pub fn neighbours(
        &self,
        identity: &BoxIdentity,
        epoch: u64,
        local: usize,
        global: usize,
    ) -> Vec<Arc<str>> {
        let mut chosen = Vec::new();
        let local_boxes = self.in_data_centre(&identity.data_centre);
        for ring in 0..local {
            ring_neighbours(
                local_boxes.iter(),
                identity,
                ring_seed("own", ring, epoch),
                &mut chosen,
            );
        }
        for ring in 0..global {
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

/// Returns the `count` members with the highest weights for `subject` (rendezvous hashing). All
/// boxes with the same list choose the same members, and the loss of a box affects only its own
/// subjects.
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

/// Adds the boxes before and after `identity` on one ring.
fn ring_neighbours<'a>(
    members: impl Iterator<Item = &'a Arc<str>>,
    identity: &BoxIdentity,
    seed: u64,
    chosen: &mut Vec<Arc<str>>,
) {
    let position = |member: &str| xxh3_64_with_seed(member.as_bytes(), seed);
    let own = position(&identity.box_id);
    let mut after: Option<(u64, &Arc<str>)> = None;
    let mut before: Option<(u64, &Arc<str>)> = None;
    for member in members.filter(|member| **member != identity.box_id) {
        let position = position(member);
        // Distances wrap around, which closes the ring.
        let ahead = position.wrapping_sub(own);
        let behind = own.wrapping_sub(position);
        if after.is_none_or(|(min, _)| ahead < min) {
            after = Some((ahead, member));
        }
        if before.is_none_or(|(min, _)| behind < min) {
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
