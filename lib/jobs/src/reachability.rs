//! Reach of backend servers: closes servers and availability zones to new work while orders to
//! them get no reply. See docs/design/reachability.md for the rules and their reasons.

use std::collections::{BTreeMap, BTreeSet};

use camphorbeam_model::id;

use crate::engine::{Engine, Now};
use crate::event::{Event, ReachView};
use crate::live_run::RunPhase;
use crate::settings;

/// Time beyond the wait time of a hold after which its reply counts as missing. A normal reply
/// takes a round trip of some milliseconds and the processing by a host that gets its share of the
/// processor each 100 ms.
const OVERDUE_MS: u64 = 300;

/// Further time after which a single server with an overdue hold is closed. A busy host processes
/// some replies that late, and has no evidence of other servers for a single one.
const OVERDUE_SERVER_MS: u64 = 300;

/// Missing replies that are noticed within this time of each other may have one cause.
const GROUP_MS: u64 = 600;

/// How long before the first missing reply of a group another reply counts as in time. Holds that
/// are sent at the same time are due at the same time, but processed one after another.
const REPLY_TOLERANCE_MS: u64 = 100;

/// A group of servers is evidence about a zone if it has at least this share of it.
const GROUP_MIN_RATIO: usize = 8;

/// Smallest number of servers that are evidence about a zone: one may fail by itself.
const GROUP_MIN_SERVERS: usize = 2;

/// Longest time between two calls of the engine in which the host counts as running without a
/// pause. The decision loop calls at least each 100 ms while there are jobs.
const CALL_INTERVAL_MAX_MS: u64 = 150;

/// Time for which a single server has to be without a reply before the gangs with an unanswered
/// start there are stopped. In this time a hold is repeated, which shows whether the server still
/// replies.
const STOP_DELAY_MS: u64 = 400;

/// Why gangs with an unanswered start are stopped, and runs without an order are withdrawn.
const STOP_REASON: &str = "server out of reach";

/// A hold without an outcome.
#[derive(Clone, Copy, Debug)]
struct OpenHold {
    sent_ms: u64,
    wait_ms: u64,
    /// Value of `Reachability::paused_ms` when the hold was sent.
    paused_ms: u64,
}

/// The first missing reply since the last reply of a server.
#[derive(Clone, Copy, Debug)]
struct MissingReply {
    /// When the reply was due; for an order that failed, when it failed.
    due_ms: u64,
    noticed_ms: u64,
    /// Whether a hold is overdue, in contrast to an order that failed.
    is_overdue: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct ServerReach {
    open_hold: Option<OpenHold>,
    last_reply_ms: Option<u64>,
    missing: Option<MissingReply>,
    /// Whether the server is closed because its zone is cut off.
    is_cut_off: bool,
    /// Whether an event has reported that the server is closed by itself.
    is_reported: bool,
}

/// Replies and missing replies of one zone.
#[derive(Debug, Default)]
struct ZoneEvidence {
    /// Servers that have ever replied.
    servers: usize,
    cut_off: usize,
    /// When the missing replies of the last `GROUP_MS` were due, in order.
    missing_ms: Vec<u64>,
    /// When orders failed whose missing reply is one of these, in order.
    failed_ms: Vec<u64>,
    /// Times of the last reply of servers without a missing one, in order.
    replies_ms: Vec<u64>,
}

/// Number of entries of `sorted_ms` that are not before `since_ms`.
fn count_since(sorted_ms: &[u64], since_ms: u64) -> usize {
    sorted_ms.len() - sorted_ms.partition_point(|at_ms| *at_ms < since_ms)
}

impl ZoneEvidence {
    fn group_min(&self) -> usize {
        self.servers
            .div_ceil(GROUP_MIN_RATIO)
            .max(GROUP_MIN_SERVERS)
            .min(self.servers)
    }

    fn missing_since(&self, since_ms: u64) -> usize {
        count_since(&self.missing_ms, since_ms)
    }

    fn replies_since(&self, since_ms: u64) -> usize {
        count_since(&self.replies_ms, since_ms)
    }

    /// When the group of missing replies begins that outnumbers the replies since; `None` if there
    /// is no such group.
    fn silent_since_ms(&self) -> Option<u64> {
        let mut starts = self.missing_ms.iter().copied();
        starts.find(|since_ms| {
            let missing = self.missing_since(*since_ms);
            let replies = self.replies_since(since_ms.saturating_sub(REPLY_TOLERANCE_MS));
            // A reset ends holds before they are due, so where most have failed, one that has not
            // counts against a cut.
            let failed = count_since(&self.failed_ms, *since_ms);
            let others = match 2 * failed > missing {
                true => self.replies_ms.len(),
                false => replies,
            };
            missing >= self.group_min() && missing >= others
        })
    }

    /// Whether the zone has replied in time since `since_ms`.
    fn replies_in_time(&self, since_ms: u64) -> bool {
        let replies = self.replies_since(since_ms + 1);
        replies >= self.group_min() && replies >= 2 * self.missing_since(since_ms)
    }
}

/// Which servers are open to new work, judged by replies to orders. Has no effect in the mode
/// [`settings::ReachabilityMode::Server`].
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    mode: settings::ReachabilityMode,
    servers: BTreeMap<id::BackendServerId, ServerReach>,
    cut_off_zones: BTreeSet<id::ZoneName>,
    is_own_link_silent: bool,
    /// When the engine was last called.
    called_ms: u64,
    /// Sum of the pauses of the host so far.
    paused_ms: u64,
    /// When the last pause ended.
    pause_end_ms: u64,
}

impl Reachability {
    /// Creates the state of a scheduler that has sent no order yet.
    pub fn new(mode: settings::ReachabilityMode) -> Self {
        Self {
            mode,
            ..Self::default()
        }
    }

    fn is_on(&self) -> bool {
        self.mode == settings::ReachabilityMode::Zones
    }

    /// Accounts for the time since the last call, in which the host may have been paused.
    fn record_call(&mut self, now_ms: u64) {
        let since_ms = now_ms.saturating_sub(self.called_ms);
        if self.called_ms > 0 && since_ms > CALL_INTERVAL_MAX_MS {
            self.paused_ms += since_ms - CALL_INTERVAL_MAX_MS;
            self.pause_end_ms = now_ms;
        }
        self.called_ms = self.called_ms.max(now_ms);
    }

    /// Records a hold that is about to be sent.
    pub fn record_hold(&mut self, id: &id::BackendServerId, wait_ms: u64, now_ms: u64) {
        if !self.is_on() {
            return;
        }
        self.record_call(now_ms);
        let hold = OpenHold {
            sent_ms: now_ms,
            wait_ms,
            paused_ms: self.paused_ms,
        };
        self.servers.entry(id.clone()).or_default().open_hold = Some(hold);
    }

    /// Records a reply of a server to any order. Returns how long the server had been closed by
    /// itself, in milliseconds, if it had.
    pub fn record_reply(&mut self, id: &id::BackendServerId, now_ms: u64) -> Option<u64> {
        if !self.is_on() {
            return None;
        }
        self.record_call(now_ms);
        self.is_own_link_silent = false;
        let server = self.servers.entry(id.clone()).or_default();
        let closed = server.missing.filter(|_| server.is_reported);
        *server = ServerReach {
            last_reply_ms: Some(now_ms),
            open_hold: server.open_hold,
            ..ServerReach::default()
        };
        closed.map(|missing| now_ms.saturating_sub(missing.due_ms))
    }

    /// Records that the hold of a server that has no outcome yet has got one.
    pub fn end_hold(&mut self, id: &id::BackendServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.open_hold = None;
        }
    }

    /// Records that an order sent at `sent_ms` has got no reply. Doesn't count it if the server has
    /// replied since, or if the host may have missed the reply during a pause.
    pub fn record_missing(&mut self, id: &id::BackendServerId, sent_ms: u64, now_ms: u64) {
        if !self.is_on() {
            return;
        }
        self.record_call(now_ms);
        let (paused_ms, pause_end_ms) = (self.paused_ms, self.pause_end_ms);
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let hold = server.open_hold.filter(|hold| hold.sent_ms == sent_ms);
        let (limit_ms, paused_ms) = match hold {
            Some(hold) => (hold.wait_ms + OVERDUE_MS, paused_ms - hold.paused_ms),
            None => (OVERDUE_MS, 0),
        };
        if hold.is_some() {
            server.open_hold = None;
        }
        let took_ms = now_ms.saturating_sub(sent_ms);
        let has_failed = took_ms < limit_ms;
        let is_late = match hold {
            Some(_) => took_ms >= limit_ms + paused_ms,
            None => sent_ms >= pause_end_ms,
        };
        let has_replied = server.last_reply_ms.is_some_and(|at_ms| at_ms > sent_ms);
        if has_replied || (!has_failed && !is_late) {
            return;
        }
        server.missing = Some(match server.missing {
            Some(missing) => MissingReply {
                is_overdue: missing.is_overdue && !has_failed,
                ..missing
            },
            None => MissingReply {
                due_ms: if has_failed { now_ms } else { sent_ms },
                noticed_ms: now_ms,
                is_overdue: false,
            },
        });
    }

    /// Whether a server is open to new work.
    pub fn is_open(&self, id: &id::BackendServerId, now_ms: u64) -> bool {
        match self.servers.get(id) {
            _ if !self.is_on() => true,
            Some(server) if server.is_cut_off => false,
            Some(ServerReach {
                missing: Some(missing),
                ..
            }) if missing.is_overdue => {
                self.is_own_link_silent || now_ms < missing.noticed_ms + OVERDUE_SERVER_MS
            }
            Some(server) => server.missing.is_none(),
            None => true,
        }
    }

    /// Whether the zone of a server is cut off, or the own link may be the cause of its silence.
    pub fn is_cut_off(&self, id: &id::BackendServerId) -> bool {
        let is_cut_off = |server: &ServerReach| server.is_cut_off;
        self.is_own_link_silent || self.servers.get(id).is_some_and(is_cut_off)
    }

    /// Whether a start without a reply on this server is to be stopped at `now_ms`.
    fn is_stop_due(&self, id: &id::BackendServerId, now_ms: u64) -> bool {
        self.servers.get(id).is_some_and(|server| {
            let missing = server.missing;
            server.is_cut_off
                || (!self.is_own_link_silent
                    && missing.is_some_and(|missing| now_ms >= missing.noticed_ms + STOP_DELAY_MS))
        })
    }

    /// Whether [`Self::update`] may have an effect. Cheaper than the update, which almost always
    /// has none.
    fn is_update_due(&mut self, now_ms: u64) -> bool {
        if !self.is_on() {
            return false;
        }
        self.record_call(now_ms);
        let is_silent = |server: &ServerReach| {
            let overdue = |hold: OpenHold| now_ms >= hold.sent_ms + hold.wait_ms + OVERDUE_MS;
            server.is_cut_off || server.missing.is_some() || server.open_hold.is_some_and(overdue)
        };
        !self.cut_off_zones.is_empty() || self.servers.values().any(is_silent)
    }

    /// Notices overdue holds, and closes the servers of zones that are cut off. `zones` has the
    /// registered servers; others are forgotten. Returns the changes.
    pub fn update(
        &mut self,
        zones: &BTreeMap<id::BackendServerId, id::ZoneName>,
        now_ms: u64,
    ) -> Vec<Event> {
        if !self.is_on() {
            return Vec::new();
        }
        self.record_call(now_ms);
        self.servers.retain(|id, _| zones.contains_key(id));
        self.notice_overdue(now_ms);
        let mut events = self.update_zones(zones, now_ms);
        let closed: Vec<id::BackendServerId> = self
            .servers
            .iter()
            .filter(|(id, server)| !server.is_reported && !self.is_open(id, now_ms))
            .map(|(id, _)| id.clone())
            .collect();
        for id in closed {
            let Some(server) = self.servers.get_mut(&id) else {
                continue;
            };
            server.is_reported = true;
            // The event of the zone covers the servers of a zone that is cut off.
            if let (false, Some(missing)) = (server.is_cut_off, server.missing) {
                let silent_ms = now_ms.saturating_sub(missing.due_ms);
                events.push(reach_event(
                    ReachView::ServerClosed,
                    id.as_str(),
                    1,
                    silent_ms,
                ));
            }
        }
        events
    }

    fn notice_overdue(&mut self, now_ms: u64) {
        for server in self.servers.values_mut() {
            let Some(hold) = server.open_hold.filter(|_| server.missing.is_none()) else {
                continue;
            };
            let paused_ms = self.paused_ms - hold.paused_ms;
            let due_ms = hold.sent_ms + hold.wait_ms + paused_ms;
            if now_ms >= due_ms + OVERDUE_MS {
                server.missing = Some(MissingReply {
                    due_ms,
                    noticed_ms: now_ms,
                    is_overdue: true,
                });
            }
        }
    }

    fn evidence(
        &self,
        zones: &BTreeMap<id::BackendServerId, id::ZoneName>,
        now_ms: u64,
    ) -> BTreeMap<id::ZoneName, ZoneEvidence> {
        let mut evidence: BTreeMap<id::ZoneName, ZoneEvidence> = BTreeMap::new();
        for (id, server) in &self.servers {
            let (Some(zone), Some(last_reply_ms)) = (zones.get(id), server.last_reply_ms) else {
                continue;
            };
            let of_zone = evidence.entry(zone.clone()).or_default();
            of_zone.servers += 1;
            of_zone.cut_off += usize::from(server.is_cut_off);
            match server.missing {
                _ if server.is_cut_off => {}
                Some(missing) if now_ms < missing.noticed_ms + GROUP_MS => {
                    of_zone.missing_ms.push(missing.due_ms);
                    if !missing.is_overdue {
                        of_zone.failed_ms.push(missing.due_ms);
                    }
                }
                Some(_) => {}
                None => of_zone.replies_ms.push(last_reply_ms),
            }
        }
        for of_zone in evidence.values_mut() {
            of_zone.missing_ms.sort_unstable();
            of_zone.failed_ms.sort_unstable();
            of_zone.replies_ms.sort_unstable();
        }
        evidence
    }

    /// Closes the servers of zones that are cut off, and reports zones of which most servers reply
    /// again.
    fn update_zones(
        &mut self,
        zones: &BTreeMap<id::BackendServerId, id::ZoneName>,
        now_ms: u64,
    ) -> Vec<Event> {
        let evidence = self.evidence(zones, now_ms);
        let mut events = Vec::new();
        let silent: BTreeMap<&id::ZoneName, u64> = evidence
            .iter()
            .filter_map(|(zone, of_zone)| Some((zone, of_zone.silent_since_ms()?)))
            .collect();
        for (zone, since_ms) in &silent {
            let mut others = evidence.iter().filter(|(other, _)| other != zone);
            if !others.any(|(_, other)| other.replies_in_time(*since_ms)) {
                continue;
            }
            let mut closed = 0;
            for (id, server) in &mut self.servers {
                // The reply may have been on its way when the link was cut.
                let limit_ms = since_ms + REPLY_TOLERANCE_MS;
                let is_silent = server.last_reply_ms.is_some_and(|at_ms| at_ms < limit_ms);
                if zones.get(id) == Some(zone) && is_silent {
                    server.is_cut_off = true;
                    closed += 1;
                }
            }
            self.cut_off_zones.insert((*zone).clone());
            let silent_ms = now_ms.saturating_sub(*since_ms);
            let name = zone.as_str();
            events.push(reach_event(ReachView::ZoneCutOff, name, closed, silent_ms));
        }
        let replying: Vec<id::ZoneName> = self
            .cut_off_zones
            .iter()
            .filter(|zone| !silent.contains_key(zone))
            .filter(|zone| {
                let of_zone = evidence.get(zone);
                of_zone.is_none_or(|of_zone| 2 * of_zone.cut_off < of_zone.servers)
            })
            .cloned()
            .collect();
        for zone in replying {
            self.cut_off_zones.remove(&zone);
            let still_closed = evidence.get(&zone).map_or(0, |of_zone| of_zone.cut_off);
            let name = zone.as_str();
            events.push(reach_event(ReachView::ZoneReplies, name, still_closed, 0));
        }
        // Zones that are cut off already are no evidence about the own link.
        let mut rest = evidence
            .iter()
            .filter(|(_, of_zone)| of_zone.cut_off < of_zone.servers);
        let are_all_silent = !silent.is_empty() && rest.all(|(zone, _)| silent.contains_key(zone));
        if are_all_silent && events.is_empty() && !self.is_own_link_silent {
            self.is_own_link_silent = true;
            let servers = evidence.values().map(|of_zone| of_zone.missing_ms.len());
            let (servers, silent_ms) = (servers.sum(), OVERDUE_MS);
            events.push(reach_event(
                ReachView::OwnLinkSilent,
                "",
                servers,
                silent_ms,
            ));
        }
        events
    }
}

fn reach_event(view: ReachView, name: &str, servers: usize, silent_ms: u64) -> Event {
    Event::Reach {
        view,
        name: name.into(),
        servers,
        silent_ms,
    }
}

impl Engine {
    /// Records that an order sent at `sent_ms` on the monotonic clock has got no reply, as evidence
    /// about the reach of the server and about its life. Also for orders that could not be sent, but
    /// not for those that nobody tried to send.
    pub fn order_unanswered(&mut self, id: &id::BackendServerId, sent_ms: u64, now: Now) {
        self.reachability.record_missing(id, sent_ms, now.ms);
        self.doubt_life(id, now);
    }

    /// Records a reply of a server to any order.
    pub(crate) fn record_reach(&mut self, id: &id::BackendServerId, now: Now) {
        if let Some(silent_ms) = self.reachability.record_reply(id, now.ms) {
            let event = reach_event(ReachView::ServerReplies, id.as_str(), 1, silent_ms);
            self.events.push(event);
        }
    }

    /// Updates which servers are open. On closed ones, withdraws units without a start order, and
    /// stops gangs that wait for a start without a reply.
    pub(crate) fn update_reach(&mut self, now: Now) {
        if !self.reachability.is_update_due(now.ms) {
            return;
        }
        let registered = self.servers.values().filter(|server| server.is_registered);
        let zones = registered
            .map(|server| (server.entry.id.clone(), server.entry.zone.clone()))
            .collect();
        let events = self.reachability.update(&zones, now.ms);
        self.events.extend(events);
        let closed: Vec<id::BackendServerId> = zones
            .into_keys()
            .filter(|id| !self.reachability.is_open(id, now.ms))
            .collect();
        for server in closed {
            let is_stop_due = self.reachability.is_stop_due(&server, now.ms);
            for (id, index) in self.runs_on(&server) {
                let Some(live) = self.jobs[&id].runs.get(&index) else {
                    // Removed together with another member of its gang.
                    continue;
                };
                let job = &self.jobs[&id];
                let unit = job.unit_of(index);
                // A gang makes no progress before all of its members are present.
                let mut members = unit.members().filter_map(|member| job.runs.get(&member));
                let may_have_begun = members.any(|member| member.percent > 0);
                let is_due = match live.phase {
                    RunPhase::AwaitingWrite { .. } => true,
                    // The missing reply has been noticed, so that the start is recorded as
                    // unanswered: a restarted server may still carry it out.
                    RunPhase::StartSent {
                        retry_ms: Some(_), ..
                    } => is_stop_due && unit.count > 1 && !may_have_begun,
                    _ => false,
                };
                if is_due {
                    for member in unit.members() {
                        self.request_stop(&id, member, STOP_REASON, now);
                    }
                }
            }
        }
    }
}
