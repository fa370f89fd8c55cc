//! Chooses the upstream where a request is answered soonest.

use std::collections::BTreeSet;

use rand::{Rng, RngExt as _};
use xxhash_rust::xxh3;

use crate::balance::upstream;
use crate::id;
use crate::kept;
use crate::routing;
use crate::time::Millis;

/// Prompt tokens that an engine reads in a millisecond, before any was measured. Engines of the
/// size the service is built for read 50 to 100.
const READ_RATE: f64 = 60.0;
/// Time of an engine's first step and of the way there and back.
const FIRST_STEP: Millis = Millis(20);
/// Time that each request in flight adds to a further one, in milliseconds: its share of a step.
const IN_FLIGHT_MS: f64 = 2.0;
/// Time for which a part of a prompt is expected to stay in an engine's memory after its use.
const PART_LIFE: Millis = Millis(8_000);
/// Cost of work in another failure domain, in milliseconds: a round trip and the price of bytes.
const OTHER_DOMAIN_MS: f64 = 2.0;
/// Cost of a share of failed answers above that of the service, in milliseconds for a share of 1.
const FAILURE_MS: f64 = 2_000.0;
/// Cost of a cold upstream, in milliseconds: it is used only when others are busy.
const COLD_MS: f64 = 150.0;
/// Share of an engine's memory that requests of all instances may hold before a preemption is
/// likely.
const MEMORY_SHARE: f64 = 0.9;
/// Cost of each prompt token that is read though another engine has read it, in milliseconds,
/// beside the time to read it: the work delays the requests behind it.
const READ_AGAIN_MS: f64 = 0.1;
/// Chance that an engine holds the shared parts of a prompt that it is the first or second home
/// of, when this instance has not sent it one.
const HOME_CHANCE: [f64; 2] = [0.9, 0.3];
/// Cost of memory beyond that share, in milliseconds for a whole engine: a preempted prompt is
/// read again.
const MEMORY_MS: f64 = 2_000.0;
/// Time after which answers made on older weights begin to lose worth.
const VERSION_GRACE: Millis = Millis(1_200);
/// Cost of older weights after that time, in milliseconds.
const OLD_WEIGHTS_MS: f64 = 300.0;
/// Random part of a cost, in milliseconds; instances that know the same differ in their choice.
const JITTER_MS: f64 = 1.0;

/// What a request needs of an upstream.
#[derive(Debug)]
pub struct Need<'a> {
    /// The service that serves it.
    pub service: &'a routing::Service,
    /// The model and, once named, the version of its weights and when that was learned.
    pub model: Option<(&'a id::Model, Option<(u64, Millis)>)>,
    /// Whether requests on older weights are refused by now.
    pub is_newest_only: bool,
    /// The workspace, if it shares kept parts with no other.
    pub isolated: Option<&'a id::Workspace>,
    /// Prompt tokens in all, and room for the answer.
    pub tokens: u64,
    /// Shared parts of the prompt with their size in tokens.
    pub parts: &'a [(u64, u64)],
    /// Time to fetch all shared parts from a store; `None` when they are in none.
    pub fetch: Option<Millis>,
    /// Upstreams that this request was at before.
    pub tried: &'a [id::Upstream],
}

/// Why no upstream can take a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unavailable {
    /// The service has no upstream that takes work.
    None,
    /// All upstreams are at a limit; one may have room after this time.
    Limits(Millis),
}

/// What the choice knows beside the upstreams.
#[derive(Debug)]
pub struct View<'a> {
    /// The failure domain of this instance.
    pub domain: &'a id::FailureDomain,
    /// Failure domains that operators have taken out.
    pub out: &'a BTreeSet<id::FailureDomain>,
    /// Live instances, this one included.
    pub instances: u32,
    /// This instance.
    pub own: &'a id::Instance,
    /// The registered instances.
    pub registered: &'a [id::Instance],
}

impl View<'_> {
    /// Returns how many requests a second this instance may send to a cold upstream. Where there
    /// are more instances than requests, the same few send one each for all; one a second from
    /// every instance would be too many.
    fn cold_share(&self, per_second: f64, upstream: &id::Upstream) -> f64 {
        let share = (per_second / f64::from(self.instances.max(1))).floor();
        if share >= 1.0 {
            return share;
        }
        let seed = xxh3::xxh3_64(upstream.as_str().as_bytes());
        let score = |id: &id::Instance| xxh3::xxh3_64_with_seed(id.as_str().as_bytes(), seed);
        let own = score(self.own);
        let rank = self.registered.iter().filter(|id| score(id) > own).count();
        if (rank as f64) < per_second.floor() { 1.0 } else { 0.0 }
    }
}

impl upstream::Upstreams {
    /// Chooses the upstream of a request, and the prompt tokens it has to read there.
    ///
    /// # Errors
    ///
    /// Returns why no upstream can take the request.
    pub fn choose(
        &self,
        need: &Need<'_>,
        view: &View<'_>,
        now: Millis,
        rng: &mut impl Rng,
    ) -> Result<(id::Upstream, u64), Unavailable> {
        let members: Vec<_> = self
            .iter()
            .filter(|u| u.record.service == need.service.id)
            .filter(|u| !u.record.is_leaving && !view.out.contains(&u.record.domain))
            .collect();
        let mean_failures =
            members.iter().map(|u| u.condition.failures()).sum::<f64>() / members.len() as f64;
        let ejected = members.iter().filter(|u| u.condition.is_ejected(now)).count();
        // When most look broken, the fault is more likely on this side or shared by all.
        let may_eject = ejected * 2 <= members.len();
        let homes = homes(&members, need);
        let mut best: Option<(f64, &upstream::Upstream, u64)> = None;
        let mut is_limited = false;
        for upstream in members {
            if need.tried.contains(&upstream.record.id)
                || (may_eject && upstream.condition.is_ejected(now))
            {
                continue;
            }
            let Some(version) = servable(upstream, need) else {
                continue;
            };
            if !has_room(upstream, need, view, now) {
                is_limited = true;
                continue;
            }
            let home = homes.iter().position(|home| *home == Some(&upstream.record.id));
            let chance = home.map_or(0.0, |rank| HOME_CHANCE[rank]);
            let (cost, unread) = cost(upstream, version, need, view, chance, now);
            let excess = (upstream.condition.failures() - mean_failures - 0.1).max(0.0);
            let cost = cost + FAILURE_MS * excess + rng.random_range(0.0..JITTER_MS);
            if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                best = Some((cost, upstream, unread));
            }
        }
        match best {
            Some((_, upstream, unread)) => Ok((upstream.record.id.clone(), unread)),
            None if is_limited => Err(Unavailable::Limits(Millis(200))),
            None => Err(Unavailable::None),
        }
    }
}

/// Returns the time in which an engine without other work sends the first piece of an answer.
pub fn expected_first_piece(unread: u64) -> Millis {
    Millis(FIRST_STEP.0 + (unread as f64 / READ_RATE) as u64)
}

/// Returns the engines that requests with the same shared parts go to first. All instances find
/// the same ones without a message.
fn homes<'a>(members: &[&'a upstream::Upstream], need: &Need<'_>) -> [Option<&'a id::Upstream>; 2] {
    let Some((root, _)) = need.parts.last() else {
        return [None; 2];
    };
    let mut best: [Option<(u64, &id::Upstream)>; 2] = [None; 2];
    for upstream in members {
        let id = &upstream.record.id;
        let scored = Some((xxh3::xxh3_64_with_seed(id.as_str().as_bytes(), *root), id));
        if scored > best[0] {
            best = [scored, best[0]];
        } else if scored > best[1] {
            best[1] = scored;
        }
    }
    best.map(|home| home.map(|(_, id)| id))
}

/// Returns the version of weights a request would run on, absent if the upstream cannot serve it.
/// For requests without a model it is 0.
fn servable(upstream: &upstream::Upstream, need: &Need<'_>) -> Option<u64> {
    let Some((model, newest)) = need.model else {
        return Some(0);
    };
    let version = upstream.version(model)?;
    if need.is_newest_only && newest.is_some_and(|(newest, _)| version < newest) {
        return None;
    }
    Some(version)
}

fn has_room(upstream: &upstream::Upstream, need: &Need<'_>, view: &View<'_>, now: Millis) -> bool {
    let instances = view.instances.max(1);
    if upstream.is_cold(now) && need.service.cold_start.max_requests_per_s > 0.0 {
        let share =
            view.cold_share(need.service.cold_start.max_requests_per_s, &upstream.record.id);
        if upstream.cold_sends(now) as f64 >= share {
            return false;
        }
    }
    // One instance more than there are leaves room for a restart whose old connections linger.
    let connections = (need.service.connections / (instances + 1)).max(1);
    upstream.own.in_flight < connections
}

fn cost(
    upstream: &upstream::Upstream,
    version: u64,
    need: &Need<'_>,
    view: &View<'_>,
    home_chance: f64,
    now: Millis,
) -> (f64, u64) {
    let load = upstream.load();
    let mut cost = f64::from(load.in_flight) * IN_FLIGHT_MS + upstream.condition.delay_ms(now);
    if upstream.record.domain != *view.domain {
        cost += OTHER_DOMAIN_MS;
    }
    if upstream.is_cold(now) {
        cost += COLD_MS;
    }
    if now < upstream.avoid_until {
        cost += upstream.avoid_until.since(now).0 as f64 + 50.0;
    }
    let Some((model, newest)) = need.model else {
        return (cost, 0);
    };
    if let Some((newest, learned)) = newest
        && version < newest
        && now.since(learned) >= VERSION_GRACE
    {
        cost += OLD_WEIGHTS_MS;
    }
    let shared: u64 = need.parts.iter().map(|(_, tokens)| tokens).sum();
    let own = need.tokens.saturating_sub(shared);
    let salt = kept::salt(model, version, need.isolated);
    let mut missing = 0.0;
    for (part, tokens) in need.parts {
        let at = upstream.remembered_at(&salt, *part);
        if at.is_none_or(|at| now.since(at) > PART_LIFE) {
            missing += *tokens as f64 * (1.0 - home_chance);
        }
    }
    let obtain_ms = match need.fetch {
        Some(fetch) => fetch.0 as f64 * missing / shared.max(1) as f64,
        None => missing * (1.0 / READ_RATE + READ_AGAIN_MS),
    };
    let unread = if need.fetch.is_some() { own } else { own + missing as u64 };
    cost += obtain_ms + (load.unread + own) as f64 / READ_RATE;
    if let Some(engine) = need.service.engine {
        let room = engine.capacity_tokens as f64 * MEMORY_SHARE;
        let held = (load.tokens + need.tokens) as f64;
        cost += MEMORY_MS * ((held - room) / engine.capacity_tokens as f64).max(0.0);
    }
    (cost, unread)
}
