//! Notices that targets give in their answers (draining, back-off), and which requests they still receive.
//!
//! Failures that these tests guard against:
//!
//! - A target announced in each answer that it was draining. The store was unavailable, so that no listing had it, and
//!   boxes ignored the announcement. The target remained as eligible as any other (risk 0.02, busy 1.0), and twelve
//!   requests of eight boxes ended there, from half a second after the first such answer, one of them 3.5 s after the
//!   answer to its own box.
//! - Three targets refused all requests and asked for a back-off of 3 s each time. A refusal counted for 0.2 s. The
//!   three had nothing to do and so received the most: 18 to 53 requests a second, all refused, nine of one box at one
//!   of them within 5.4 s. The retries of 98 requests were used up from one target to the next.

mod harness;

use std::thread;
use std::time::Duration;

use harness::{
    BoxUnderTest, CallerReply, Script, StoreStandin, TargetStandin, config, eventually, header,
    own_host, route,
};
use wingbridge_gateway::routes::RouteKind;
use wingbridge_gateway::view::TargetEntry;

/// Header of a draining target's answers.
const DRAINING: &str = "X-Leaving: 1\r\n";
/// Header that requests a back-off longer than each test.
const LONG_BACKOFF: &str = "Retry-After: 500\r\n";
/// Number of requests after a notice. Of two equal targets each would receive half of them.
const REQUESTS: usize = 40;
/// Time within which boxes must have notified each other.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Two targets of one service, and a box. Requests may be executed only once, so that on a busy machine no second
/// attempt is made beside a delayed one, whose answer no task would wait for.
struct Pair {
    store: StoreStandin,
    /// Target that gives notice.
    notifier: TargetStandin,
    other: TargetStandin,
    gateway: BoxUnderTest,
}

impl Pair {
    fn start(script: Script, headers: &str, kind: RouteKind) -> Pair {
        let notifier = TargetStandin::start("speaker", "service", script);
        notifier.set_answer_headers(headers);
        let other = TargetStandin::start("other", "service", Script::Good);
        let store = StoreStandin::default();
        store.put_config(config(1, vec![route("r", "service", kind)]));
        store.put_targets(vec![notifier.entry.clone(), other.entry.clone()]);
        let gateway = BoxUnderTest::start(store.port(true), &[]);
        gateway.wait_ready();
        Pair { store, notifier, other, gateway }
    }

    /// Sends requests until the target has given notice.
    fn receive_notice(&self) {
        self.ask_until_received(1);
    }

    fn ask_until_received(&self, requests: usize) {
        eventually("the target that gives notice is asked", || {
            ask(&self.gateway);
            self.received() >= requests
        });
    }

    fn ask_repeatedly(&self) {
        for _ in 0..REQUESTS {
            ask(&self.gateway);
        }
    }

    /// Returns the number of requests that the target that gives notice has received.
    fn received(&self) -> usize {
        self.notifier.requests().len()
    }

    fn list(&self, notifier: Option<TargetEntry>) {
        let listed = notifier.into_iter().chain([self.other.entry.clone()]);
        self.store.put_targets(listed.collect());
    }

    /// Waits until the box has read the store twice more.
    fn wait_for_reads(&self) {
        let before = self.store.reads();
        eventually("the store is read", || self.store.reads() >= before + 2);
    }
}

fn ask(gateway: &BoxUnderTest) -> Option<CallerReply> {
    let mut caller = gateway.connect();
    caller.send("GET", "/r/x", "", "");
    caller.read()
}

struct NoticeCase {
    name: &'static str,
    script: Script,
    headers: &'static str,
    /// Whether the target receives no requests from then on.
    counts: bool,
}

const NOTICES: &[NoticeCase] = &[
    NoticeCase { name: "a success", script: Script::Good, headers: DRAINING, counts: true },
    NoticeCase {
        name: "a chunked success",
        script: Script::Chunked,
        headers: DRAINING,
        counts: true,
    },
    NoticeCase {
        name: "a success without a length",
        script: Script::UntilClose,
        headers: DRAINING,
        counts: true,
    },
    NoticeCase { name: "a failure", script: Script::Fails, headers: DRAINING, counts: true },
    NoticeCase { name: "a refusal", script: Script::Sheds, headers: DRAINING, counts: true },
    NoticeCase {
        name: "too many requests",
        script: Script::TooMany,
        headers: DRAINING,
        counts: true,
    },
    NoticeCase { name: "a long answer", script: Script::Long, headers: DRAINING, counts: true },
    NoticeCase {
        name: "an answer cut short",
        script: Script::Truncated,
        headers: DRAINING,
        counts: true,
    },
    NoticeCase {
        name: "a long answer cut short",
        script: Script::LongTruncated,
        headers: DRAINING,
        counts: true,
    },
    NoticeCase {
        name: "two header lines",
        script: Script::Good,
        headers: "X-Leaving: 0\r\nX-Leaving: 1\r\n",
        counts: true,
    },
    NoticeCase {
        name: "the id of another request",
        script: Script::WrongId,
        headers: DRAINING,
        counts: false,
    },
    NoticeCase { name: "no proof", script: Script::NoProof, headers: DRAINING, counts: false },
    NoticeCase { name: "no", script: Script::Good, headers: "X-Leaving: 0\r\n", counts: false },
    NoticeCase { name: "nothing", script: Script::Good, headers: "X-Leaving:\r\n", counts: false },
    NoticeCase { name: "back-off", script: Script::Sheds, headers: LONG_BACKOFF, counts: true },
    NoticeCase {
        name: "back-off, too many requests",
        script: Script::TooMany,
        headers: LONG_BACKOFF,
        counts: true,
    },
    NoticeCase {
        name: "back-off, busy",
        script: Script::Busy,
        headers: LONG_BACKOFF,
        counts: true,
    },
    NoticeCase {
        name: "back-off with a fraction",
        script: Script::Sheds,
        headers: "Retry-After: 499.75\r\n",
        counts: true,
    },
    NoticeCase {
        name: "back-off until a date",
        script: Script::Sheds,
        headers: "Date: Wed, 01 Jan 2020 00:00:00 GMT\r\nRetry-After: Wed, 01 Jan 2020 00:10:00 GMT\r\n",
        counts: true,
    },
    NoticeCase {
        name: "two back-offs, the longer one counts",
        script: Script::Sheds,
        headers: "Retry-After: 500\r\nRetry-After: 0\r\n",
        counts: true,
    },
    NoticeCase {
        name: "back-off longer than the maximum",
        script: Script::Sheds,
        headers: "Retry-After: 99999999999999999999999\r\n",
        counts: true,
    },
    NoticeCase {
        name: "back-off until a date in the past",
        script: Script::Sheds,
        headers: "Retry-After: Wed, 01 Jan 2020 00:10:00 GMT\r\n",
        counts: false,
    },
    NoticeCase { name: "0", script: Script::Sheds, headers: "Retry-After: 0\r\n", counts: false },
    NoticeCase { name: "-5", script: Script::Sheds, headers: "Retry-After: -5\r\n", counts: false },
    NoticeCase { name: "empty", script: Script::Sheds, headers: "Retry-After:\r\n", counts: false },
    NoticeCase {
        name: "NaN",
        script: Script::Sheds,
        headers: "Retry-After: NaN\r\n",
        counts: false,
    },
    NoticeCase {
        name: "inf",
        script: Script::Sheds,
        headers: "Retry-After: inf\r\n",
        counts: false,
    },
    NoticeCase {
        name: "1e12",
        script: Script::Sheds,
        headers: "Retry-After: 1e12\r\n",
        counts: false,
    },
    NoticeCase {
        name: "soon",
        script: Script::Sheds,
        headers: "Retry-After: soon\r\n",
        counts: false,
    },
    NoticeCase { name: "a success", script: Script::Good, headers: LONG_BACKOFF, counts: false },
    NoticeCase { name: "a failure", script: Script::Fails, headers: LONG_BACKOFF, counts: false },
];

fn check_notices(counts: bool) {
    for case in NOTICES.iter().filter(|case| case.counts == counts) {
        let pair = Pair::start(case.script, case.headers, RouteKind::AtMostOnce);
        pair.receive_notice();
        if !counts {
            println!("{}: {}", case.name, case.headers);
            pair.ask_until_received(2);
            continue;
        }
        let before = pair.received();
        pair.ask_repeatedly();
        assert_eq!(pair.received(), before, "{}: {}", case.name, case.headers);
    }
}

#[test]
fn target_that_gives_notice_receives_no_more_requests() {
    check_notices(true);
}

#[test]
fn invalid_or_foreign_notices_have_no_effect() {
    check_notices(false);
}

/// The head of an answer was lost with the attempt when its caller had disconnected.
#[test]
fn notice_counts_if_the_caller_disconnects_during_the_answer() {
    let pair = Pair::start(Script::LongHangs, DRAINING, RouteKind::AtMostOnce);
    eventually("the target answers", || {
        let mut caller = pair.gateway.connect();
        caller.send("GET", "/r/x", "", "");
        caller.read_beginning(16);
        pair.received() == 1
    });
    eventually("the target notices that the connection has ended", || {
        pair.notifier.hang_ups() == 1
    });
    pair.ask_repeatedly();
    assert_eq!(pair.received(), 1);
}

#[test]
fn draining_target_stays_excluded_whatever_is_listed() {
    let pair = Pair::start(Script::Good, DRAINING, RouteKind::AtMostOnce);
    pair.receive_notice();
    let entry = &pair.notifier.entry;
    let listings = [
        ("other slots", Some(TargetEntry { slots: 9, ..entry.clone() })),
        ("leaving", Some(TargetEntry { draining: true, ..entry.clone() })),
        ("ready again", Some(entry.clone())),
        ("not listed", None),
        ("listed again", Some(entry.clone())),
    ];
    for (name, listed) in listings {
        pair.list(listed);
        pair.wait_for_reads();
        pair.ask_repeatedly();
        assert_eq!(pair.received(), 1, "{name}");
    }
    pair.store.set_unreachable(true);
    pair.ask_repeatedly();
    assert_eq!(pair.received(), 1, "the store is unavailable");
}

#[test]
fn backoff_outlasts_new_listings() {
    let pair = Pair::start(Script::Sheds, LONG_BACKOFF, RouteKind::AtMostOnce);
    pair.receive_notice();
    pair.notifier.set_script(Script::Good);
    let entry = &pair.notifier.entry;
    let changed = TargetEntry { slots: 9, ..entry.clone() };
    for listed in [Some(changed), None, Some(entry.clone())] {
        pair.list(listed);
        pair.wait_for_reads();
        pair.ask_repeatedly();
        assert_eq!(pair.received(), 1);
    }
}

#[test]
fn next_incarnation_of_a_target_begins_without_notice() {
    for (headers, script) in [(DRAINING, Script::Good), (LONG_BACKOFF, Script::Sheds)] {
        let pair = Pair::start(script, headers, RouteKind::AtMostOnce);
        pair.receive_notice();
        pair.notifier.set_answer_headers("");
        pair.notifier.set_script(Script::Good);
        let entry = &pair.notifier.entry;
        let same_id = TargetEntry { started_ms: 5, ..entry.clone() };
        let same_address = TargetEntry { id: "next".into(), ..entry.clone() };
        for listed in [same_id, same_address] {
            let before = pair.received();
            pair.list(Some(listed));
            pair.ask_until_received(before + 1);
        }
    }
}

/// The notice in an answer with status 421 is that of the instance that has the address now.
#[test]
fn notice_of_another_instance_does_not_count_for_the_target() {
    let pair = Pair::start(Script::OtherInstance, DRAINING, RouteKind::AtMostOnce);
    pair.receive_notice();
    let moved = TargetStandin::start("speaker", "service", Script::Good);
    pair.list(Some(moved.entry.clone()));
    eventually("the target receives requests at its own address", || {
        ask(&pair.gateway);
        !moved.requests().is_empty()
    });
}

#[test]
fn boxes_report_draining_targets_to_each_other() {
    let pair = Pair::start(Script::Good, DRAINING, RouteKind::AtMostOnce);
    let start_other = |data_centre: &str| {
        BoxUnderTest::start_at(
            own_host(),
            pair.store.port(true),
            &[pair.gateway.host()],
            |settings| settings.data_centre = data_centre.into(),
        )
    };
    let others = [start_other("centre"), start_other("elsewhere")];
    others.iter().for_each(|gateway| {
        gateway.wait_ready();
    });
    thread::sleep(PROPAGATION_TIME);
    pair.receive_notice();
    thread::sleep(PROPAGATION_TIME);
    for gateway in &others {
        for _ in 0..REQUESTS {
            ask(gateway);
        }
    }
    assert_eq!(pair.received(), 1, "boxes that did not ask the target exclude it, too");
}

/// A back-off holds only for the box that received it, and others learn from their own load. When one refusal was
/// reported to all boxes, one saturated target after the other received no requests at all.
#[test]
fn backoff_holds_only_for_the_box_that_received_it() {
    let pair = Pair::start(Script::Sheds, LONG_BACKOFF, RouteKind::AtMostOnce);
    let other = BoxUnderTest::start(pair.store.port(true), &[pair.gateway.host()]);
    other.wait_ready();
    pair.receive_notice();
    eventually("the other box asks the target", || {
        ask(&other);
        pair.received() == 2
    });
}

#[test]
fn requests_are_refused_at_once_while_all_targets_back_off() {
    let pair = Pair::start(Script::Sheds, LONG_BACKOFF, RouteKind::AtMostOnce);
    pair.other.set_script(Script::Sheds);
    pair.other.set_answer_headers("Retry-After: 400\r\n");
    eventually("both targets are asked", || {
        ask(&pair.gateway);
        !pair.notifier.requests().is_empty() && !pair.other.requests().is_empty()
    });
    let before = pair.received() + pair.other.requests().len();
    for _ in 0..REQUESTS {
        let reply = ask(&pair.gateway).expect("an answer");
        assert_eq!(reply.status, 503, "the request was not executed");
        let wait = header(&reply.head, "retry-after").and_then(|text| text.parse::<f64>().ok());
        let wait = wait.expect("a time");
        // The first target is available again after 400 s, less the duration of the test.
        assert!((100.0..=500.0).contains(&wait), "{wait} s");
    }
    assert_eq!(pair.received() + pair.other.requests().len(), before, "no target was asked");
}

#[test]
fn service_whose_targets_are_all_draining_refuses_at_once() {
    let pair = Pair::start(Script::Good, DRAINING, RouteKind::AtMostOnce);
    pair.other.set_answer_headers(DRAINING);
    eventually("both targets are asked", || {
        ask(&pair.gateway);
        !pair.notifier.requests().is_empty() && !pair.other.requests().is_empty()
    });
    let before = pair.received() + pair.other.requests().len();
    let reply = ask(&pair.gateway).expect("an answer");
    assert_eq!(reply.status, 503, "the request was not executed");
    assert_eq!(pair.received() + pair.other.requests().len(), before, "no target was asked");
}

#[test]
fn target_is_used_again_after_its_backoff() {
    let pair = Pair::start(Script::Sheds, "Retry-After: 0.3\r\n", RouteKind::AtMostOnce);
    pair.receive_notice();
    pair.notifier.set_script(Script::Good);
    pair.ask_until_received(2);
}

/// Two seconds after an outage of the store the targets that it removed from the listing are dropped. The remaining
/// ones were then treated as new and lost their notices.
#[test]
fn backoff_outlasts_the_drop_of_targets_removed_by_an_outage() {
    let pair = Pair::start(Script::Sheds, LONG_BACKOFF, RouteKind::AtMostOnce);
    let lapsing = TargetStandin::start("lapsing", "service", Script::Good);
    let all = [&pair.notifier, &pair.other, &lapsing];
    pair.store.put_targets(all.map(|target| target.entry.clone()).to_vec());
    pair.wait_for_reads();
    pair.store.set_unreachable(true);
    let failed_from = pair.store.reads();
    eventually("the box notices that the store is unavailable", || {
        pair.store.reads() > failed_from + 4
    });
    thread::sleep(PROPAGATION_TIME);
    pair.list(Some(pair.notifier.entry.clone()));
    pair.store.set_unreachable(false);
    pair.wait_for_reads();
    pair.receive_notice();
    pair.notifier.set_script(Script::Good);
    let before = pair.received();
    eventually("the lapsed target is dropped", || {
        let lapsed_before = lapsing.requests().len();
        pair.ask_repeatedly();
        lapsing.requests().len() == lapsed_before
    });
    pair.ask_repeatedly();
    assert_eq!(pair.received(), before);
}
