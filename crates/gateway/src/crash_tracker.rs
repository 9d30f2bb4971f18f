//! Requests under which targets end: what this box sees of them, is told, and refuses.

use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use prost::Message;
use wingbridge_decide::crashes::{CrashChange, CrashLedger, CrashReport, CrashVerdict, TargetEnd};
use wingbridge_decide::{Fingerprint, TargetKey, TimePoint};
use wingbridge_wire::gossip::{CrashNote, CrashRecord};

use crate::context::{lock, millis};

/// The desk's clock begins this far before the box: what peers saw before its start has a time, too.
const BEFORE_START: Duration = Duration::from_secs(24 * 3600);

/// Requests in a note for the store, at most: some 10 KB.
const NOTED: usize = 64;

/// The one ledger of a box, with the clock that it goes by.
#[derive(Debug)]
pub(crate) struct CrashTracker {
    ledger: Mutex<CrashLedger>,
    /// The notes that the store held last, which most readings bring again.
    notes: Mutex<Vec<Vec<u8>>>,
    started: Instant,
}

impl CrashTracker {
    pub(crate) fn new() -> CrashTracker {
        CrashTracker { ledger: Mutex::default(), notes: Mutex::default(), started: Instant::now() }
    }

    /// Whether a request may be sent to a target.
    pub(crate) fn verdict(&self, fingerprint: Fingerprint) -> CrashVerdict {
        lock(&self.ledger).verdict(self.now(), fingerprint)
    }

    /// A target ended under a request.
    pub(crate) fn record_crash(&self, fingerprint: Fingerprint, target: TargetKey) {
        let changes = lock(&self.ledger).record_crash(self.now(), fingerprint, target);
        self.log_changes(&changes, "own");
    }

    /// An attempt ended and this box doesn't know how.
    pub(crate) fn record_unknown_outcome(&self, fingerprint: Fingerprint, target: TargetKey) {
        lock(&self.ledger).record_unknown_outcome(self.now(), fingerprint, target);
    }

    /// A target refuses connections, or another one has its address.
    pub(crate) fn record_target_ended(&self, target: TargetKey) {
        let changes = lock(&self.ledger).record_target_ended(self.now(), target);
        self.log_changes(&changes, "own");
    }

    /// A target ran a request to a good end.
    pub(crate) fn record_success(&self, fingerprint: Fingerprint) {
        let change = lock(&self.ledger).record_success(self.now(), fingerprint);
        self.log_changes(change.as_slice(), "own");
    }

    /// Takes what a peer told.
    pub(crate) fn merge_records(&self, records: &[CrashRecord], peer: &str) {
        for record in records {
            let changes = lock(&self.ledger).merge_report(self.now(), &decode_record(record));
            self.log_changes(&changes, peer);
        }
    }

    /// What is new since the last call.
    pub(crate) fn take_unreported(&self) -> Vec<CrashRecord> {
        lock(&self.ledger).take_unreported(self.now()).iter().map(encode_news).collect()
    }

    /// What is told again and again, `most` requests at most.
    pub(crate) fn records_to_repeat(&self, most: usize) -> Vec<CrashRecord> {
        lock(&self.ledger).reports_to_repeat(self.now(), most).iter().map(encode_news).collect()
    }

    /// Takes what boxes left in the store. Its times are those of the writers' clocks, which may differ
    /// by seconds: little beside the minutes of a refusal.
    pub(crate) fn apply_notes(&self, notes: Vec<Vec<u8>>) {
        let mut known = lock(&self.notes);
        if *known == notes {
            return;
        }
        for note in notes.iter().filter(|note| !known.contains(note)) {
            let note = match CrashNote::decode(&**note) {
                Ok(note) => note,
                Err(error) => {
                    log::warn!(reason:% = error; "crash-note-malformed");
                    continue;
                }
            };
            let age_ms = unix_millis().saturating_sub(note.written_ms);
            let aged: Vec<CrashRecord> =
                note.crashes.into_iter().map(|record| grown_older(record, age_ms)).collect();
            self.merge_records(&aged, "store");
        }
        *known = notes;
    }

    /// The requests that are refused now, for the store; and a number that is another one when
    /// there is something else to write.
    pub(crate) fn encode_note(&self) -> (u64, Vec<u8>) {
        let refused = lock(&self.ledger).refused_reports(self.now(), NOTED);
        let known = refused.iter().map(|news| (news.fingerprint.0, news.ends.len()));
        let version = known.fold(0_u64, |sum, (fingerprint, ends)| {
            sum.wrapping_add(fingerprint.wrapping_mul(2 * ends as u64 + 1))
        });
        let crashes = refused.iter().map(encode_news).collect();
        let note = CrashNote { written_ms: unix_millis(), crashes };
        (version, note.encode_to_vec())
    }

    fn now(&self) -> TimePoint {
        TimePoint::default() + BEFORE_START + self.started.elapsed()
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
    // A clock before 1970 tells no time: what was written then is taken for new.
    since.map_or(0, millis)
}

/// A record as it is `age_ms` after it was written.
fn grown_older(mut record: CrashRecord, age_ms: u64) -> CrashRecord {
    for end_ms in &mut record.ages_ms {
        *end_ms = end_ms.saturating_add(age_ms);
    }
    if record.succeeded_plus_one > 0 {
        record.succeeded_plus_one = record.succeeded_plus_one.saturating_add(age_ms);
    }
    record
}

fn encode_news(news: &CrashReport) -> CrashRecord {
    CrashRecord {
        fingerprint: news.fingerprint.0,
        targets: news.ends.iter().map(|end| end.target.0).collect(),
        ages_ms: news.ends.iter().map(|end| millis(end.age)).collect(),
        succeeded_plus_one: news.succeeded.map_or(0, |age| millis(age).saturating_add(1)),
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
