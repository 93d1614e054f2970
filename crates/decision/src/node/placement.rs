//! Placement: choice of the target for a slot request, grant and release.

use super::pool::Pool;
use super::{Command, Node};
use crate::cache_index::CacheLocation;
use crate::document::Limits;
use crate::id::{ChatId, InstanceId, ServiceId, TargetId, Time};
use crate::message::{DenyCode, Grant, HeldGrant, Message, Release, SlotRequest};
use crate::slots::Denial;
use std::time::Duration;

/// Times that a slot request is forwarded before it is queued.
const MAX_HOPS: u8 = 6;
/// Top-ranked targets of a new chat whose loads are compared.
const LOAD_CHOICES: usize = 4;
/// Requests by which another target must be less loaded than the first choice.
const MIN_LEAD: u32 = 2;

impl Node {
    /// Places a slot request: grants it, forwards it to the steward of the
    /// chosen target, or queues it.
    pub(super) fn place(&mut self, now: Time, mut request: SlotRequest, out: &mut Vec<Command>) {
        let Some(pool) = self.pools.get(&request.service) else {
            return self.deny(&request, DenyCode::NoService, out);
        };
        if request.all_denied && !pool.slots.is_empty() {
            return self.enqueue(now, request, out);
        }
        loop {
            let Some(target) = self.choose_target(&mut request) else {
                return self.queue_at_home(now, request, out);
            };
            let pool = &self.pools[&request.service];
            match pool.steward(&target) {
                Some(steward) if *steward == self.me => {}
                Some(_) if request.hops >= MAX_HOPS => {
                    return self.queue_at_home(now, request, out);
                }
                Some(steward) => {
                    let to = steward.clone();
                    return self.forward(to, target, request, out);
                }
                None => return self.deny(&request, DenyCode::NoTarget, out),
            }
            match self.try_grant(now, &request, &target, 0, out) {
                Ok(()) => return,
                Err(Denial::Full | Denial::Bound) if self.is_worth_waiting(&request, &target) => {
                    return self.wait_for_cache(now, request, &target, out);
                }
                Err(_) => request.tried.push(target),
            }
            request.hold_ms = 0;
        }
    }

    /// Returns whether a slot of the target that caches the chat is likely to be
    /// free within `hold_ms`, the time that using its cache saves.
    fn is_worth_waiting(&self, request: &SlotRequest, target: &TargetId) -> bool {
        let pool = &self.pools[&request.service];
        let limits = &pool.versioned.document.limits;
        let queued = pool
            .queues
            .get(target)
            .map_or(0, super::queueing::Queue::len);
        let hold = Duration::from_millis(u64::from(request.hold_ms));
        let wait = pool
            .slots
            .get(target)
            .map(|s| s.wait_estimate(queued, limits));
        request.hold_ms > 0 && wait.is_some_and(|wait| wait <= hold)
    }

    /// Queues a slot request for up to its `hold_ms` at the target that caches
    /// its chat.
    fn wait_for_cache(
        &mut self,
        now: Time,
        mut request: SlotRequest,
        target: &TargetId,
        out: &mut Vec<Command>,
    ) {
        let hold = Duration::from_millis(u64::from(std::mem::take(&mut request.hold_ms)));
        self.counters.held_back += 1;
        self.push_queued(now, target, request, now + hold, out);
    }

    /// Forwards a slot request to another instance; an empty `target` leaves the
    /// choice to the receiver.
    pub(super) fn forward(
        &mut self,
        to: InstanceId,
        target: TargetId,
        mut request: SlotRequest,
        out: &mut Vec<Command>,
    ) {
        request.hops += 1;
        request.target = target;
        if request.entry.is_empty() {
            request.entry = self.me.clone();
        }
        // The receiver knows the sender, so an entry that forwards its own
        // request leaves its name out to save bytes.
        if request.entry == self.me {
            request.entry = InstanceId::default();
        }
        self.counters.passed_on += 1;
        out.push(Command::Send {
            to,
            message: Message::SlotRequest(request),
        });
    }

    /// Chooses the next target to try.
    ///
    /// The order is: the target that the request names, the targets that cache
    /// the chat, the chat's target ranking. Targets known to be full come last.
    /// A chat without a cache goes to the least loaded of its top-ranked targets.
    fn choose_target(&self, request: &mut SlotRequest) -> Option<TargetId> {
        let pool = &self.pools[&request.service];
        let requested = std::mem::take(&mut request.target);
        if !requested.is_empty() && self.is_candidate(pool, &requested, request) {
            return Some(requested);
        }
        let locations = self.cache_index.locations(request.chat);
        if let Some(location) = locations.first().filter(|_| request.tried.is_empty()) {
            request.hold_ms = cache_wait_ms(&pool.versioned.document.limits, location);
            if request.hold_ms > 0 && self.is_candidate(pool, &location.target, request) {
                return Some(location.target.clone());
            }
        }
        let cached = locations
            .iter()
            .map(|l| l.target.as_str())
            .filter(|t| self.is_candidate(pool, t, request));
        let ranking = pool.ranking(request.chat);
        let ranked: Vec<&str> = ranking
            .into_iter()
            .filter(|t| self.is_candidate(pool, t, request))
            .collect();
        let preferred = cached.chain(ranked.iter().copied());
        let free = preferred.clone().find(|t| !is_known_full(pool, t));
        let chosen = match free {
            Some(first) if locations.is_empty() && request.tried.is_empty() => {
                Some(least_loaded(pool, first, &ranked))
            }
            Some(first) => Some(first),
            None => preferred.into_iter().next(),
        };
        chosen.map(TargetId::from)
    }

    /// Returns whether a target exists, is not drained and has not denied the
    /// request.
    pub(super) fn is_candidate(&self, pool: &Pool, target: &str, request: &SlotRequest) -> bool {
        let Some(spec) = pool.spec(target) else {
            return false;
        };
        !request.tried.contains(&spec.id) && !self.is_drained(&spec.id, &spec.domain)
    }

    /// Grants a slot of a target that this instance stewards.
    ///
    /// `excess` is the number of requests allowed above the load bound. It is
    /// used when every target has denied the request, because the known mean
    /// load is then out of date and too low.
    pub(super) fn try_grant(
        &mut self,
        now: Time,
        request: &SlotRequest,
        target: &TargetId,
        excess: u32,
        out: &mut Vec<Command>,
    ) -> Result<(), Denial> {
        let grant = self.next_grant_id();
        let me = self.me.clone();
        let pool = self.pools.get_mut(&request.service).expect("pool");
        let limits = &pool.versioned.document.limits;
        let slots = pool.slots.get_mut(target).ok_or(Denial::Down)?;
        let cap = slots.cap(limits);
        let bound = pool.loads.bound(cap, limits.multiple) + excess;
        let entry = if request.entry.is_empty() {
            me
        } else {
            request.entry.clone()
        };
        let holder = (entry, request.workspace.clone());
        slots
            .grant(now, grant, holder, bound, request.suspect, limits)
            .inspect_err(|denial| self.counters.count_denial(*denial))?;
        pool.update_load(now, target);
        if pool.home(request.chat) == Some(&self.me)
            && self.cache_index.locations(request.chat).is_empty()
        {
            // Lets a request of this chat that arrives before the release find
            // the same target.
            let location = CacheLocation {
                target: target.clone(),
                tokens: 1,
            };
            self.cache_index.record(now, request.chat, location);
        }
        self.counters.grants += 1;
        let grant = Grant {
            request: request.id,
            grant,
            target: target.clone(),
        };
        self.reply(&request.entry, Message::Grant(grant), now, out);
        Ok(())
    }

    /// Sends a reply to the entry, or processes it directly if this instance is
    /// the entry.
    pub(super) fn reply(
        &mut self,
        entry: &InstanceId,
        message: Message,
        now: Time,
        out: &mut Vec<Command>,
    ) {
        if !entry.is_empty() && *entry != self.me {
            out.push(Command::Send {
                to: entry.clone(),
                message,
            });
            return;
        }
        let me = self.me.clone();
        match message {
            Message::Grant(grant) => self.on_grant(now, &me, grant, out),
            Message::Deny { request, code } => self.on_deny(now, request, code, out),
            Message::Queued(request) => self.on_queued(now, request, &me),
            _ => {}
        }
    }

    /// Sends a denial to the entry.
    pub(super) fn deny(&mut self, request: &SlotRequest, code: DenyCode, out: &mut Vec<Command>) {
        let message = Message::Deny {
            request: request.id,
            code,
        };
        let now = self.last_event;
        self.reply(&request.entry.clone(), message, now, out);
    }

    /// Queues a slot request that every target has denied, at the chat's home if
    /// it can be reached within the hop limit.
    fn queue_at_home(&mut self, now: Time, mut request: SlotRequest, out: &mut Vec<Command>) {
        let pool = &self.pools[&request.service];
        let targets = &pool.versioned.document.targets;
        let accepts_work = targets.iter().any(|t| !self.is_drained(&t.id, &t.domain));
        let home = pool.home(request.chat).cloned();
        request.all_denied = true;
        match home {
            _ if !accepts_work => self.deny(&request, DenyCode::NoTarget, out),
            Some(home) if home == self.me => self.enqueue(now, request, out),
            Some(home) if request.hops <= MAX_HOPS => {
                request.tried.clear();
                self.forward(home, TargetId::default(), request, out);
            }
            _ if !pool.slots.is_empty() => self.enqueue(now, request, out),
            _ => self.deny(&request, DenyCode::Unsettled, out),
        }
    }

    /// Frees the slot of an attempt and, at the chat's home, records which
    /// target now caches the chat.
    pub(super) fn on_release(&mut self, now: Time, release: &Release, out: &mut Vec<Command>) {
        let Some(pool) = self.pools.get_mut(&release.service) else {
            return;
        };
        let target = &release.location.target;
        let first_token = release.first_ms.map(|ms| f64::from(ms) / 1_000.0);
        let is_freed = pool
            .slots
            .get_mut(target)
            .is_some_and(|s| s.release(now, release.grant, release.complete, first_token));
        if is_freed
            && release.refused
            && let Some(slots) = pool.slots.get_mut(target)
        {
            slots.mark_unreachable(now);
        }
        if is_freed {
            pool.update_load(now, target);
        }
        if release.complete && pool.home(release.chat) == Some(&self.me) {
            self.cache_index
                .record(now, release.chat, release.location.clone());
        }
        if is_freed {
            self.serve_queue(now, &release.service, target, out);
        }
    }

    /// Renews grants of targets stewarded here, or registers those of a previous
    /// steward.
    pub(super) fn on_renewals(&mut self, now: Time, from: &InstanceId, grants: Vec<HeldGrant>) {
        for held in grants {
            let Some(pool) = self.pools.get_mut(&held.service) else {
                continue;
            };
            if let Some(slots) = pool.slots.get_mut(&held.target) {
                slots.renew(now, held.grant, (from.clone(), held.workspace));
                pool.update_load(now, &held.target);
            }
        }
    }

    /// Passes the cached tokens of a target on to the homes of the chats.
    pub(super) fn on_cached_tokens(
        &mut self,
        service: &ServiceId,
        target: &TargetId,
        chats: Vec<(ChatId, u32)>,
        out: &mut Vec<Command>,
    ) {
        let Some(pool) = self.pools.get(service) else {
            return;
        };
        let mut by_home = std::collections::BTreeMap::<InstanceId, Vec<_>>::new();
        for (chat, tokens) in chats {
            let location = CacheLocation {
                target: target.clone(),
                tokens,
            };
            match pool.home(chat) {
                Some(home) if *home == self.me => self.cache_index.correct(chat, location),
                Some(home) => by_home
                    .entry(home.clone())
                    .or_default()
                    .push((chat, location)),
                None => {}
            }
        }
        for (to, chats) in by_home {
            let message = Message::CachedTokens(chats);
            out.push(Command::Send { to, message });
        }
    }
}

/// Milliseconds for which it is worth waiting for the target that caches a
/// chat: the prompt processing time saved, up to the configured limit.
fn cache_wait_ms(limits: &Limits, location: &CacheLocation) -> u16 {
    let saved = limits.token_time * location.tokens;
    u16::try_from(saved.min(limits.hold_time).as_millis()).unwrap_or(u16::MAX)
}

/// Returns whether a target is full or at its load bound by the known loads.
pub(super) fn is_known_full(pool: &Pool, target: &str) -> bool {
    let limits = &pool.versioned.document.limits;
    let Some((load, cap)) = pool.loads.get(target) else {
        return false;
    };
    load >= cap.min(pool.loads.bound(cap, limits.multiple))
}

/// Chooses the least loaded of a new chat's top-ranked targets (Mitzenmacher,
/// "The Power of Two Choices in Randomized Load Balancing", 2001).
fn least_loaded<'a>(pool: &Pool, first: &'a str, ranked: &[&'a str]) -> &'a str {
    let load = |target: &str| pool.loads.get(target).filter(|l| l.1 > 0);
    let share = |(load, cap): (u32, u32)| f64::from(load) / f64::from(cap);
    let Some((first_load, first_cap)) = load(first) else {
        return first;
    };
    let others = ranked
        .iter()
        .filter(|t| **t != first)
        .take(LOAD_CHOICES - 1);
    let known = others.filter_map(|t| load(t).map(|l| (share(l), *t)));
    let least = known.min_by(|a, b| a.0.total_cmp(&b.0));
    // A difference of one request may only be a release that is under way.
    let margin = f64::from(MIN_LEAD) / f64::from(first_cap);
    match least {
        Some((other, target)) if other + margin <= share((first_load, first_cap)) => target,
        _ => first,
    }
}
