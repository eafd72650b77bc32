//! Reach of servers: what closes servers and zones to new work, and what must not.

use std::collections::BTreeMap;

use camphorbeam_fleet_model as support;
use camphorbeam_fleet_model::{gang, Simulation};
use camphorbeam_jobs::event::{Event, ReachView};
use camphorbeam_jobs::progress::JobState;
use camphorbeam_jobs::reachability::Reachability;
use camphorbeam_jobs::settings::{ReachabilityMode, Settings};
use camphorbeam_model::id;

/// How long a server delays its reply to a hold, and the time limit of a hold.
const WAIT_MS: u64 = 1_000;
const LIMIT_MS: u64 = WAIT_MS + 1_200;

/// Time of the fault; by then each server has replied several times.
const FAULT_MS: u64 = 10_000;

type Silent<'a> = dyn Fn(&str) -> bool + 'a;

/// Servers in three zones, whose holds are in flight, spread over a second.
struct Holds {
    reach: Reachability,
    zones: BTreeMap<id::BackendServerId, id::ZoneName>,
    /// When the open hold of each server was sent.
    sent_ms: BTreeMap<id::BackendServerId, u64>,
    events: Vec<(u64, Event)>,
}

impl Holds {
    fn new(servers_per_zone: u64) -> Self {
        let count = 3 * servers_per_zone;
        let (mut zones, mut sent_ms) = (BTreeMap::new(), BTreeMap::new());
        for number in 0..count {
            let server = id::BackendServerId::new(&format!("s{number:03}")).unwrap();
            let zone = id::ZoneName::new(&format!("z{}", number % 3)).unwrap();
            zones.insert(server.clone(), zone);
            // Holds of neighbours in a zone are far apart in time.
            sent_ms.insert(server, 1 + (number * 37) % count * WAIT_MS / count);
        }
        Self {
            reach: Reachability::new(ReachabilityMode::Zones),
            zones,
            sent_ms,
            events: Vec::new(),
        }
    }

    /// Runs to `until_ms` in steps of 10 ms. `silent` servers don't reply to holds that end from
    /// now on: those end by their time limit or, with `resets`, at once.
    fn run(&mut self, from_ms: u64, until_ms: u64, silent: &Silent<'_>, resets: bool) {
        for now_ms in (from_ms..until_ms).step_by(10) {
            let servers: Vec<_> = self.zones.keys().cloned().collect();
            for server in servers {
                let sent_ms = self.sent_ms[&server];
                let is_silent = silent(server.as_str());
                let limit_ms = match (is_silent, resets) {
                    (true, true) => 0,
                    (true, false) => LIMIT_MS,
                    (false, _) => WAIT_MS + 10,
                };
                if now_ms < sent_ms + limit_ms {
                    continue;
                }
                if is_silent {
                    self.reach.record_missing(&server, sent_ms, now_ms);
                } else {
                    self.reach.end_hold(&server);
                    self.reach.record_reply(&server, now_ms);
                }
                // A failed hold is repeated after 250 ms.
                let next_ms = now_ms + if is_silent { 250 } else { 0 };
                self.sent_ms.insert(server.clone(), next_ms);
                self.reach.record_hold(&server, WAIT_MS, next_ms);
            }
            if now_ms % 50 == 0 {
                let events = self.reach.update(&self.zones, now_ms);
                self.events
                    .extend(events.into_iter().map(|event| (now_ms, event)));
            }
        }
    }

    /// Runs without a fault until `FAULT_MS`, and with one for `for_ms`.
    fn fault(servers: u64, silent: &Silent<'_>, resets: bool, for_ms: u64) -> Self {
        let mut holds = Self::new(servers);
        holds.run(0, FAULT_MS, &|_| false, false);
        holds.run(FAULT_MS, FAULT_MS + for_ms, silent, resets);
        holds
    }

    /// Names in the events of a view, each with the time since the fault.
    fn views(&self, of_view: ReachView) -> Vec<(u64, &str)> {
        let events = self.events.iter().filter_map(|(at_ms, event)| match event {
            Event::Reach { view, name, .. } => Some((*view, at_ms - FAULT_MS, &**name)),
            _ => None,
        });
        let events = events.filter(|(view, ..)| *view == of_view);
        events.map(|(_, at_ms, name)| (at_ms, name)).collect()
    }

    fn closed(&self, now_ms: u64) -> Vec<&str> {
        let names = self.zones.keys();
        let closed = names.filter(|id| !self.reach.is_open(id, now_ms));
        closed.map(|id| id.as_str()).collect()
    }
}

/// Whether a server is in zone `z1`.
fn in_zone_1(name: &str) -> bool {
    name[1..].parse::<usize>().unwrap() % 3 == 1
}

/// Guards against placing urgent work in a zone that was cut off, for the time of the holds' limit.
#[test]
fn test_reach_of_a_zone_ends_soon_after_a_cut_with_and_without_resets() {
    for (resets, limit_ms) in [(true, 300), (false, 600)] {
        for servers in [4, 20, 117] {
            let holds = Holds::fault(servers, &in_zone_1, resets, 900);
            let cut_off = holds.views(ReachView::ZoneCutOff);
            println!("{servers} servers a zone, resets {resets}: {cut_off:?}");
            assert!(cut_off.iter().all(|(_, zone)| *zone == "z1"), "{cut_off:?}");
            // Four servers need more time: two of them have to be overdue.
            let limit_ms = if servers == 4 { 900 } else { limit_ms };
            assert!(cut_off.first().is_some_and(|(at_ms, _)| *at_ms <= limit_ms));
            let closed = holds.closed(FAULT_MS + 900);
            assert!(closed.iter().all(|name| in_zone_1(name)));
            assert_eq!(closed.len() as u64, servers);
        }
    }
}

/// Guards against a zone that stays closed after the link is back.
#[test]
fn test_reach_of_a_server_returns_with_its_first_reply() {
    let mut holds = Holds::fault(20, &in_zone_1, false, 3_000);
    assert_eq!(holds.closed(FAULT_MS + 3_000).len(), 20);
    let server = id::BackendServerId::new("s001").unwrap();
    holds.reach.record_reply(&server, FAULT_MS + 3_000);
    assert!(holds.reach.is_open(&server, FAULT_MS + 3_000));
    holds.run(FAULT_MS + 3_000, FAULT_MS + 7_000, &|_| false, false);
    assert_eq!(holds.closed(FAULT_MS + 7_000).len(), 0);
    assert_eq!(holds.views(ReachView::ZoneReplies).len(), 1);
}

/// Guards against closing a zone for the fault of some of its servers.
#[test]
fn test_reach_of_a_zone_outlasts_one_flapping_server_and_a_lost_rack() {
    for resets in [true, false] {
        let mut holds = Holds::new(30);
        holds.run(0, FAULT_MS, &|_| false, false);
        for round in 0..6 {
            let from_ms = FAULT_MS + round * 1_000;
            let flaps = |name: &str| name == "s001" && round % 2 == 0;
            holds.run(from_ms, from_ms + 1_000, &flaps, resets);
        }
        assert_eq!(holds.views(ReachView::ZoneCutOff), []);
        assert!(!holds.views(ReachView::ServerClosed).is_empty());
        let rack = |name: &str| in_zone_1(name) && name < "s024";
        let holds = Holds::fault(30, &rack, resets, 3_000);
        assert_eq!(holds.views(ReachView::ZoneCutOff), []);
        assert_eq!(holds.closed(FAULT_MS + 3_000).len(), 8);
    }
}

/// Guards against taking a pause of the own host for silence of the servers.
#[test]
fn test_reach_is_kept_after_a_pause_of_the_host() {
    for pause_ms in [400, 900, 1_500, 5_000] {
        let mut holds = Holds::new(30);
        holds.run(0, FAULT_MS, &|_| false, false);
        let resumed_ms = FAULT_MS + pause_ms;
        // The scan and the time limits of the holds may come before the replies are read.
        let events = holds.reach.update(&holds.zones, resumed_ms);
        assert_eq!(events, [], "{pause_ms}");
        for (id, sent_ms) in &holds.sent_ms {
            if resumed_ms >= sent_ms + LIMIT_MS {
                holds.reach.record_missing(id, *sent_ms, resumed_ms);
            }
        }
        assert_eq!(holds.closed(resumed_ms).len(), 0, "{pause_ms}");
        holds.run(resumed_ms, resumed_ms + 2_000, &|_| false, false);
        assert_eq!(holds.events, [], "{pause_ms}");
    }
}

/// Guards against closing the whole fleet for a fault of the own link.
#[test]
fn test_reach_with_a_silent_own_link_closes_no_zone() {
    for servers in [4, 30] {
        let holds = Holds::fault(servers, &|_| true, false, 2_000);
        assert_eq!(holds.views(ReachView::ZoneCutOff), []);
        assert_eq!(holds.views(ReachView::OwnLinkSilent).len(), 1);
        assert_eq!(holds.closed(FAULT_MS + 1_000).len(), 0);
    }
}

/// Guards against giving up a zone that replies because the two others don't.
#[test]
fn test_reach_of_two_zones_ends_while_the_third_replies() {
    let holds = Holds::fault(30, &|name| !in_zone_1(name), false, 1_000);
    assert_eq!(holds.views(ReachView::ZoneCutOff).len(), 2);
    assert_eq!(holds.views(ReachView::OwnLinkSilent), []);
    assert_eq!(holds.closed(FAULT_MS + 1_000).len(), 60);
}

fn two_zones(mode: ReachabilityMode) -> Simulation {
    let settings = Settings {
        reachability: mode,
        ..Settings::default()
    };
    let mut sim = Simulation::with_settings(2, 6, 0, settings);
    for (name, server) in &mut sim.servers {
        let zone = if name.starts_with("s0") { "z0" } else { "z1" };
        server.entry.zone = id::ZoneName::new(zone).unwrap();
    }
    sim.register();
    sim.run(500);
    sim
}

/// Guards against urgent gangs that wait for starts in a zone that was just cut off.
#[test]
fn test_reach_keeps_urgent_gangs_out_of_a_zone_that_is_cut_off() {
    for mode in [ReachabilityMode::Zones, ReachabilityMode::Server] {
        let mut sim = two_zones(mode);
        // Urgent work goes to the first rack first.
        for server in sim.servers.values_mut() {
            server.is_unreachable = server.entry.zone.as_str() == "z0";
        }
        sim.run(100);
        let job = sim.submit("j1", support::URGENT, "b", vec![gang(4, 8, 2_100)]);
        let in_time = sim.run_until(3_400, |sim| sim.state(&job) == JobState::Completed);
        assert!(in_time, "{mode:?}");
    }
}

/// Guards against a second run of a task whose start may still be carried out on a closed server.
#[test]
fn test_reach_places_a_gang_again_only_once_its_late_start_is_ruled_out() {
    for heals in [true, false] {
        let mut sim = two_zones(ReachabilityMode::Zones);
        // All starts get no reply and are carried out later, and one server is cut off.
        sim.delayed_start_ratio = 1.0;
        let job = sim.submit("j1", support::URGENT, "b", vec![gang(12, 8, 2_100)]);
        sim.run(50);
        sim.delayed_start_ratio = 0.0;
        sim.server("s0-2").is_unreachable = true;
        sim.run(600);
        assert!(format!("{:?}", sim.events).contains("server out of reach"));
        sim.run(1_000);
        assert_eq!(sim.run_records.len(), 0, "{:?}", sim.run_records);
        if !heals {
            sim.run(4_000);
            sim.crash("s0-2");
        }
        sim.server("s0-2").is_unreachable = false;
        assert!(sim.run_until(30_000, |sim| sim.state(&job) == JobState::Completed));
        sim.assert_no_duplicate_runs();
    }
}
