//! The messages about the load of services between boxes, as peers receive them, and their size.

mod harness;

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use harness::{BoxUnderTest, GOSSIP, Script, StoreStandin, TargetStandin, config, own_host, route};
use prost::Message;
use wingbridge_decide::placement::PlacementLimits;
use wingbridge_decide::steer::ledger::RetryBounds;
use wingbridge_decide::steer::mechanism::MechanismSet;
use wingbridge_decide::steer::record::SteerTarget;
use wingbridge_decide::steer::{SteerCore, SteerSetup};
use wingbridge_decide::{Name, TimePoint};
use wingbridge_gateway::OverloadControl;
use wingbridge_gateway::placement::budget::{own_rows_in_budget, sums_in_budget};
use wingbridge_gateway::placement::messages::{RowSender, data_centre_rows, merge_rows, own_rows};
use wingbridge_gateway::routes::RouteKind;
use wingbridge_wire::gossip::{Datagram, DatagramBody, Heartbeat};
use wingbridge_wire::overload::ServiceLoad;

/// Heartbeats within which a box reports that it told a caller to return.
const ROUNDS: usize = 20;

/// A box of the data centre `data_centre` that the test plays.
struct PeerStandin {
    socket: UdpSocket,
    data_centre: &'static str,
}

impl PeerStandin {
    fn start(data_centre: &'static str) -> PeerStandin {
        let socket = UdpSocket::bind((own_host(), GOSSIP)).expect("an address of its own");
        socket.set_read_timeout(Some(Duration::from_secs(20))).expect("a valid time");
        PeerStandin { socket, data_centre }
    }

    fn send(&self, gateway: &BoxUnderTest, heartbeat: Heartbeat) {
        let datagram = Datagram {
            box_id: format!("peer-{}", self.data_centre),
            data_centre: self.data_centre.into(),
            incarnation: 1,
            body: Some(DatagramBody::Heartbeat(heartbeat)),
            link_mbps: 0,
        };
        let address = SocketAddr::new(gateway.host(), GOSSIP);
        self.socket.send_to(&datagram.encode_to_vec(), address).expect("loopback");
    }

    fn send_rows(&self, gateway: &BoxUnderTest, service_loads: Vec<ServiceLoad>) {
        self.send(gateway, Heartbeat { service_loads, ..Heartbeat::default() });
    }

    /// Receives the next heartbeat.
    fn receive(&self) -> Heartbeat {
        let mut buffer = [0; 4096];
        loop {
            let length = self.socket.recv(&mut buffer).expect("the datagram arrives in time");
            let datagram = Datagram::decode(&buffer[..length]).expect("a datagram");
            if let Some(DatagramBody::Heartbeat(heartbeat)) = datagram.body {
                return heartbeat;
            }
        }
    }

    /// Receives heartbeats until one has a row that `wanted` accepts.
    fn receive_row(&self, wanted: impl Fn(&ServiceLoad) -> bool) -> ServiceLoad {
        loop {
            if let Some(row) = self.receive().service_loads.into_iter().find(&wanted) {
                return row;
            }
        }
    }
}

fn start(overload: OverloadControl) -> (TargetStandin, StoreStandin, BoxUnderTest) {
    let target = TargetStandin::start("t", "service", Script::Good);
    let store = StoreStandin::default();
    store.put_config(config(1, vec![route("r", "service", RouteKind::AtMostOnce)]));
    store.put_targets(vec![target.entry.clone()]);
    let gateway = BoxUnderTest::start_with(store.port(true), &[], |settings| {
        settings.overload = overload;
    });
    gateway.wait_ready();
    (target, store, gateway)
}

/// The sum of the data centre `elsewhere`, at nine tenths of its capacity.
fn loaded_sum() -> ServiceLoad {
    ServiceLoad {
        service: "service".into(),
        data_centre: "elsewhere".into(),
        demand_milli: 9_000,
        open: 3,
        capacity_milli: 10_000,
        boxes: 2,
        age_ms: 100,
        returns: Vec::new(),
    }
}

/// Guards against messages about loads where overload control is off, and in a calm deployment.
#[test]
fn calm_boxes_and_those_without_overload_control_send_no_rows() {
    for overload in [OverloadControl::Off, OverloadControl::Auto] {
        let (_target, _store, gateway) = start(overload);
        let peer = PeerStandin::start("centre");
        let remote = PeerStandin::start("elsewhere");
        if overload == OverloadControl::Off {
            remote.send_rows(&gateway, vec![loaded_sum()]);
        }
        for _ in 0..3 {
            peer.send(&gateway, Heartbeat { wants_reply: true, ..Heartbeat::default() });
            assert_eq!(gateway.request("POST", "/r/x").status, 200);
            assert!(peer.receive().service_loads.is_empty(), "{overload:?}");
        }
        // The heartbeats of two rounds, not only replies.
        for _ in 0..3 {
            let heartbeat = peer.receive();
            assert!(heartbeat.service_loads.is_empty(), "{overload:?}");
            peer.send(&gateway, Heartbeat::default());
        }
    }
}

/// Guards against boxes of a data centre that tell refused callers to return at the same moment, because none knows
/// what the others told theirs.
#[test]
fn told_returns_are_reported_to_peers_of_the_data_centre() {
    let (target, _store, gateway) = start(OverloadControl::On);
    target.set_script(Script::Sheds);
    let peer = PeerStandin::start("centre");
    // A row has the returns of the next 1.6 s, and callers are told to return within 6.4 s.
    let row = (0..ROUNDS).find_map(|_| {
        peer.send(&gateway, Heartbeat::default());
        assert_eq!(gateway.request("POST", "/r/x").status, 503);
        peer.receive().service_loads.into_iter().find(|row| !row.returns.is_empty())
    });
    let row = row.expect("told returns are reported");
    assert_eq!((row.service.as_str(), row.data_centre.as_str()), ("service", ""));
    assert!(row.returns.iter().sum::<u32>() >= 1, "{row:?}");
}

/// Guards against sums that stay with the box that received them, and against a data centre that doesn't report its own
/// load when another one is short of capacity.
#[test]
fn sum_of_a_loaded_data_centre_is_passed_on_once_and_answered() {
    let (_target, _store, gateway) = start(OverloadControl::Auto);
    let peer = PeerStandin::start("centre");
    let remote = PeerStandin::start("elsewhere");
    peer.send(&gateway, Heartbeat { wants_reply: true, ..Heartbeat::default() });
    peer.receive();
    remote.send_rows(&gateway, vec![loaded_sum()]);

    let relayed = peer.receive_row(|row| row.data_centre == "elsewhere");
    assert_eq!(relayed, loaded_sum());
    assert_eq!(gateway.request("POST", "/r/x").status, 200);
    let own = peer.receive_row(|row| row.data_centre.is_empty());
    assert_eq!(own.service, "service");
    let sum = remote.receive_row(|_| true);
    assert_eq!((sum.service.as_str(), sum.data_centre.as_str()), ("service", "centre"));
    assert!(sum.capacity_milli > 0 && sum.boxes >= 1);

    // A sum that a box of the own data centre passes on goes no further.
    peer.send_rows(&gateway, vec![ServiceLoad { demand_milli: 9_500, ..loaded_sum() }]);
    for _ in 0..3 {
        peer.send(&gateway, Heartbeat::default());
        let rows = peer.receive().service_loads;
        assert!(rows.iter().all(|row| row.demand_milli != 9_500));
    }
}

fn core(services: usize) -> SteerCore {
    let mut core = SteerCore::new(SteerSetup {
        data_centre: "centre".into(),
        cross_cost: 0.01,
        retries: RetryBounds { share: 0.2, slack: 58.0, window: Duration::from_secs(10) },
        seed: 3,
        mechanisms: MechanismSet::default(),
    });
    let target = |number: usize| SteerTarget {
        id: format!("t{number}").as_str().into(),
        started_ms: 0,
        address: format!("10.0.0.1:{number}").as_str().into(),
        service: service_name(number).as_str().into(),
        data_centre: "centre".into(),
        slots: 3,
        cold_until: TimePoint::default(),
        region: "region".into(),
        evacuated: false,
        cold_rate: None,
    };
    core.set_targets(TimePoint::default(), (0..services).map(target).collect());
    core.enable_placement(PlacementLimits::BALANCED);
    core
}

fn service_name(number: usize) -> String {
    format!("service-{number:03}")
}

struct RowCase {
    name: &'static str,
    sender: &'static str,
    row: ServiceLoad,
    /// Whether the row is passed on, is one of a peer, or is dropped with a reason.
    relayed: bool,
    peer: bool,
    dropped: bool,
}

/// Guards against rows that are passed on for ever, counted twice, or used although they can't be true, and against one
/// bad row that spoils the rest of its datagram.
#[test]
fn received_rows_are_sorted_out() {
    let sum = || ServiceLoad { service: service_name(0), ..loaded_sum() };
    let row = || ServiceLoad { data_centre: String::new(), ..sum() };
    let case = |name, sender, row| RowCase {
        name,
        sender,
        row,
        relayed: false,
        peer: false,
        dropped: false,
    };
    let long = "n".repeat(201);
    let cases = [
        RowCase { relayed: true, ..case("a sum from its data centre", "elsewhere", sum()) },
        case("a sum that a peer passes on", "centre", sum()),
        RowCase { peer: true, ..case("the row of a peer", "centre", row()) },
        case("the row of a box elsewhere", "elsewhere", row()),
        RowCase { dropped: true, ..case("a sum of a third data centre", "third", sum()) },
        RowCase {
            dropped: true,
            ..case(
                "a sum of the own data centre",
                "centre",
                ServiceLoad { data_centre: "centre".into(), ..sum() },
            )
        },
        RowCase {
            dropped: true,
            ..case("a long name", "centre", ServiceLoad { service: long.clone(), ..row() })
        },
        RowCase {
            dropped: true,
            ..case(
                "an impossible demand",
                "elsewhere",
                ServiceLoad { demand_milli: u64::MAX, ..sum() },
            )
        },
    ];
    for RowCase { name, sender, row, relayed, peer, dropped } in cases {
        let mut core = core(2);
        let now = TimePoint::from_micros(9_000_000);
        let sender = RowSender { data_centre: sender, incarnation: 7 };
        let good = ServiceLoad {
            service: service_name(1),
            data_centre: if sender.data_centre == "centre" {
                String::new()
            } else {
                sender.data_centre.into()
            },
            ..loaded_sum()
        };
        let merged = merge_rows(&mut core, now, "centre", sender, vec![row.clone(), good]);
        let has = |rows: &[ServiceLoad]| rows.contains(&row);
        assert_eq!(has(&merged.relayed), relayed, "{name}");
        assert_eq!(has(&merged.peer_rows), peer, "{name}");
        assert_eq!(merged.dropped.is_some(), dropped, "{name}");
        assert_eq!(merged.relayed.len() + merged.peer_rows.len(), 1 + usize::from(relayed || peer));
        assert!(core.placement(&service_name(1)).is_some(), "{name}");
    }
}

/// Guards against rows without told returns, and told returns that are sent only while placement calls for rows.
#[test]
fn told_returns_travel_with_the_own_rows() {
    let mut core = core(2);
    let now = TimePoint::from_micros(9_000_000);
    assert!(own_rows(&mut core, now, &[]).is_empty());
    let returns: Vec<(Name, Vec<u32>)> = vec![(service_name(1).as_str().into(), vec![0, 3, 1])];
    let rows = own_rows(&mut core, now, &returns);
    assert_eq!(rows.len(), 1);
    assert_eq!(
        (rows[0].service.clone(), rows[0].returns.clone()),
        (service_name(1), vec![0, 3, 1])
    );
}

/// A core at nine tenths of the capacity of each of its services.
fn loaded_core(services: usize) -> (SteerCore, TimePoint) {
    let mut core = core(services);
    let mut now = TimePoint::from_micros(9_000_000);
    // A target finishes ten requests a second until its answers are known.
    for _ in 0..36 {
        now = now + Duration::from_millis(110);
        for service in 0..services {
            core.record_request(now, &service_name(service));
        }
    }
    (core, now)
}

/// Bytes a second that a box sends for placement, at `boxes` boxes in three data centres with `services` loaded
/// services.
fn bytes_per_second(boxes: usize, services: usize) -> f64 {
    /// Heads of IP and UDP.
    const PACKET_HEAD: usize = 28;
    const ROUNDS: usize = 20;
    let local = boxes / 3;
    let peers = (local - 1).min(36);
    let (mut core, now) = loaded_core(services);
    let rows = own_rows(&mut core, now, &[]);
    let sums = data_centre_rows(&mut core, now);
    assert_eq!((rows.len(), sums.len()), (services, services));
    let (mut own_bytes, mut sum_bytes) = (0, 0);
    let (mut own_round, mut sum_round) = (0, 0);
    for _ in 0..ROUNDS {
        // The heartbeat is sent anyway.
        let service_loads = own_rows_in_budget(rows.clone(), peers, &mut own_round);
        own_bytes += Heartbeat { service_loads, ..Heartbeat::default() }.encoded_len();
        let service_loads = sums_in_budget(sums.clone(), &mut sum_round);
        let datagram = Datagram {
            box_id: "box-c0-0123".into(),
            data_centre: "centre-0".into(),
            incarnation: u64::MAX,
            body: Some(DatagramBody::Heartbeat(Heartbeat {
                service_loads,
                ..Heartbeat::default()
            })),
            link_mbps: 200,
        };
        sum_bytes += datagram.encoded_len() + PACKET_HEAD;
    }
    let (own_bytes, sum_bytes) =
        (own_bytes as f64 / ROUNDS as f64, sum_bytes as f64 / ROUNDS as f64);
    // Two boxes of each data centre send to two others; each of the four sums that arrive goes to all other boxes.
    let sums_sent = (2.0 * 2.0 + 4.0 * (local - 1) as f64) / local as f64;
    own_bytes * peers as f64 + sum_bytes * sums_sent
}

/// Guards against messages that take more than overload control may use, or grow with the deployment.
#[test]
fn messages_stay_within_their_budget() {
    for services in [1, 4, 16, 200] {
        let bytes = [39, 116, 987].map(|boxes| bytes_per_second(boxes, services));
        println!("{services} services: {bytes:.0?} bytes a second at 39, 116 and 987 boxes");
        assert!(bytes.iter().all(|bytes| *bytes < 4_000.0), "{services}: {bytes:?}");
        let power = (bytes[2] / bytes[1]).ln() / (987.0_f64 / 116.0).ln();
        assert!(power < 0.3, "{services}: {power:.2}");
    }
}

/// Guards against services whose rows are never sent because others fill the budget.
#[test]
fn all_rows_get_their_turn() {
    let rows: Vec<ServiceLoad> = (0..50)
        .map(|number| ServiceLoad {
            service: service_name(number),
            demand_milli: 12_345,
            ..ServiceLoad::default()
        })
        .collect();
    let mut round = 0;
    let mut seen = std::collections::BTreeSet::new();
    for _ in 0..30 {
        let sent = own_rows_in_budget(rows.clone(), 36, &mut round);
        assert!(!sent.is_empty());
        seen.extend(sent.into_iter().map(|row| row.service));
    }
    assert_eq!(seen.len(), rows.len());
}
