//! Tracking of poison requests, under which targets end.
//!
//! A box records the crashes that it observes, merges the records of peers and of the store, and refuses requests
//! by them. The decisions are in `wingbridge_decide::crashes`.

use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use prost::Message;
use wingbridge_decide::crashes::{CrashChange, CrashLedger, CrashReport, CrashVerdict, TargetEnd};
use wingbridge_decide::{Fingerprint, TargetKey, TimePoint};
use wingbridge_wire::gossip::{CrashNote, CrashRecord};

use crate::context::{lock, millis};

/// Time by which the tracker's clock starts before the process, so that it can represent crashes that peers observed
/// before the start.
const CLOCK_LEAD: Duration = Duration::from_secs(24 * 3600);

/// Maximum number of requests in a note for the store, about 10 KB.
const MAX_NOTED: usize = 64;

/// Maximum number of notes that are remembered between two full reads, about four for each data centre.
const MAX_KNOWN_NOTES: usize = 32;

/// Age of a note above which its suspects no longer count. Failure episodes last some seconds, and the clocks of
/// writer and reader may differ by a few.
const MAX_SUSPECT_AGE: Duration = Duration::from_secs(8);

/// The crash ledger of a box, with its clock.
#[derive(Debug)]
pub(crate) struct CrashTracker {
    ledger: Mutex<CrashLedger>,
    /// Notes of the last full read of the store, and those that polls brought since then. Most reads return the same ones.
    notes: Mutex<Vec<Vec<u8>>>,
    started: Instant,
}

impl CrashTracker {
    pub(crate) fn new() -> CrashTracker {
        CrashTracker { ledger: Mutex::default(), notes: Mutex::default(), started: Instant::now() }
    }

    /// Returns whether a request may be sent to a target.
    pub(crate) fn verdict(&self, fingerprint: Fingerprint) -> CrashVerdict {
        lock(&self.ledger).verdict(self.now(), fingerprint)
    }

    /// Records that a target ended under a request.
    pub(crate) fn record_crash(&self, fingerprint: Fingerprint, target: TargetKey) {
        let changes = lock(&self.ledger).record_crash(self.now(), fingerprint, target);
        self.log_changes(&changes, "own");
    }

    /// Records an attempt whose outcome this box did not observe.
    pub(crate) fn record_unknown_outcome(&self, fingerprint: Fingerprint, target: TargetKey) {
        lock(&self.ledger).record_unknown_outcome(self.now(), fingerprint, target);
    }

    /// Records that a target has ended: it refuses connections, or another one has its address.
    pub(crate) fn record_target_ended(&self, target: TargetKey) {
        let changes = lock(&self.ledger).record_target_ended(self.now(), target);
        self.log_changes(&changes, "own");
    }

    /// Records that a target executed a request successfully.
    pub(crate) fn record_success(&self, fingerprint: Fingerprint) {
        let change = lock(&self.ledger).record_success(self.now(), fingerprint);
        self.log_changes(change.as_slice(), "own");
    }

    /// Merges the records of a peer.
    pub(crate) fn merge_records(&self, records: &[CrashRecord], peer: &str) {
        for record in records {
            let changes = lock(&self.ledger).merge_report(self.now(), &decode_record(record));
            self.log_changes(&changes, peer);
        }
    }

    /// Returns the records that have changed since the last call.
    pub(crate) fn take_unreported(&self) -> Vec<CrashRecord> {
        lock(&self.ledger).take_unreported(self.now()).iter().map(encode_report).collect()
    }

    /// Returns at most `max` records for the periodic repetition to peers, which makes up for lost datagrams.
    pub(crate) fn records_to_repeat(&self, max: usize) -> Vec<CrashRecord> {
        lock(&self.ledger).reports_to_repeat(self.now(), max).iter().map(encode_report).collect()
    }

    /// Applies the notes that boxes wrote to the store. Their times are from the clocks of the writers, which may
    /// differ by seconds. That is little compared with the minutes for which a request is refused. Returns the
    /// suspects of the new notes.
    pub(crate) fn apply_notes(&self, notes: Vec<Vec<u8>>) -> Vec<TargetKey> {
        let mut suspects = Vec::new();
        let mut known = lock(&self.notes);
        if *known == notes {
            return suspects;
        }
        for note in notes.iter().filter(|note| !known.contains(note)) {
            suspects.extend(self.apply_note(note));
        }
        *known = notes;
        suspects
    }

    /// Applies the notes that were written to the store since the last read. Their suspects are for boxes that start.
    pub(crate) fn add_notes(&self, notes: Vec<Vec<u8>>) {
        let mut known = lock(&self.notes);
        for note in notes {
            if known.contains(&note) {
                continue;
            }
            self.apply_note(&note);
            if known.len() >= MAX_KNOWN_NOTES {
                known.remove(0);
            }
            known.push(note);
        }
    }

    /// Merges the crashes of a note. Returns its suspects, unless they are too old.
    fn apply_note(&self, note: &[u8]) -> Vec<TargetKey> {
        let note = match CrashNote::decode(note) {
            Ok(note) => note,
            Err(error) => {
                log::warn!(reason:% = error; "crash-note-malformed");
                return Vec::new();
            }
        };
        let age_ms = unix_millis().saturating_sub(note.written_ms);
        let aged: Vec<CrashRecord> =
            note.crashes.into_iter().map(|record| with_age_added(record, age_ms)).collect();
        self.merge_records(&aged, "store");
        if age_ms > millis(MAX_SUSPECT_AGE) {
            return Vec::new();
        }
        note.suspects.into_iter().map(TargetKey).collect()
    }

    /// Returns the note for the store: a version, which changes with the set of refused requests or the number of
    /// their crashes, and the encoded records of the refused requests with the targets that are `suspects` now.
    pub(crate) fn encode_note(&self, suspects: &[TargetKey]) -> (u64, Vec<u8>) {
        let refused = lock(&self.ledger).refused_reports(self.now(), MAX_NOTED);
        let known = refused.iter().map(|report| (report.fingerprint.0, report.ends.len()));
        let version = known.fold(0_u64, |sum, (fingerprint, ends)| {
            sum.wrapping_add(fingerprint.wrapping_mul(2 * ends as u64 + 1))
        });
        let crashes = refused.iter().map(encode_report).collect();
        let suspects = suspects.iter().map(|key| key.0).collect();
        let note = CrashNote { written_ms: unix_millis(), crashes, suspects };
        (version, note.encode_to_vec())
    }

    fn now(&self) -> TimePoint {
        TimePoint::default() + CLOCK_LEAD + self.started.elapsed()
    }

    fn log_changes(&self, changes: &[CrashChange], by: &str) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            match *change {
                CrashChange::Refused { fingerprint, ended, wait } => {
                    let for_ms = millis(wait);
                    log::warn!(fingerprint:% = fingerprint, ended, for_ms, by; "request-refused-from-now");
                }
                CrashChange::Cleared { fingerprint } => {
                    log::info!(fingerprint:% = fingerprint, by; "request-taken-again");
                }
            }
        }
        let refused = lock(&self.ledger).refused_count(self.now());
        metrics::gauge!("wingbridge_deadly_requests").set(refused as f64);
    }
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    // A clock before 1970 is invalid. It counts as 1970, so that all notes count as new.
    since.map_or(0, millis)
}

/// Returns the record with `age_ms` added to its ages.
fn with_age_added(mut record: CrashRecord, age_ms: u64) -> CrashRecord {
    for end_ms in &mut record.ages_ms {
        *end_ms = end_ms.saturating_add(age_ms);
    }
    if record.succeeded_plus_one > 0 {
        record.succeeded_plus_one = record.succeeded_plus_one.saturating_add(age_ms);
    }
    record
}

fn encode_report(report: &CrashReport) -> CrashRecord {
    CrashRecord {
        fingerprint: report.fingerprint.0,
        targets: report.ends.iter().map(|end| end.target.0).collect(),
        ages_ms: report.ends.iter().map(|end| millis(end.age)).collect(),
        succeeded_plus_one: report.succeeded.map_or(0, |age| millis(age).saturating_add(1)),
    }
}

fn decode_record(record: &CrashRecord) -> CrashReport {
    let ends = record.targets.iter().zip(&record.ages_ms).map(|(target, age_ms)| TargetEnd {
        target: TargetKey(*target),
        age: Duration::from_millis(*age_ms),
    });
    CrashReport {
        fingerprint: Fingerprint(record.fingerprint),
        ends: ends.collect(),
        succeeded: record.succeeded_plus_one.checked_sub(1).map(Duration::from_millis),
    }
}
