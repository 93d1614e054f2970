//! Placement: which target serves an ask, and who grants it.

use super::pool::Pool;
use super::{Command, Node};
use crate::cache_index::CacheLocation;
use crate::document::Limits;
use crate::id::{ChatId, InstanceId, ServiceId, TargetId, Time};
use crate::message::{DenyCode, Grant, HeldGrant, Message, Release, SlotRequest};
use crate::slots::Denial;
use std::time::Duration;

/// Most times an ask is passed on before it is queued.
const HOPS: u8 = 6;
/// First choices of a new chat that are compared by load.
const CHOICES: usize = 4;
/// Requests by which another choice must be ahead of the first.
const CHOICES_LEAD: u32 = 2;

impl Node {
    /// Places an ask: grants it here, passes it on, or queues it.
    pub(super) fn place(&mut self, now: Time, mut request: SlotRequest, out: &mut Vec<Command>) {
        let Some(pool) = self.pools.get(&request.service) else {
            return self.deny(&request, DenyCode::NoService, out);
        };
        if request.full && !pool.slots.is_empty() {
            return self.enqueue(now, request, out);
        }
        loop {
            let Some(target) = self.choose(&mut request) else {
                return self.exhausted(now, request, out);
            };
            let pool = &self.pools[&request.service];
            match pool.steward(&target) {
                Some(steward) if *steward == self.me => {}
                Some(_) if request.hops >= HOPS => return self.exhausted(now, request, out),
                Some(steward) => {
                    let to = steward.clone();
                    return self.pass_on(to, target, request, out);
                }
                None => return self.deny(&request, DenyCode::NoTarget, out),
            }
            match self.try_grant(now, &request, &target, 0, out) {
                Ok(()) => return,
                Err(Denial::Full | Denial::Bound) if self.is_worth_holding(&request, &target) => {
                    return self.hold(now, request, &target, out);
                }
                Err(_) => request.tried.push(target),
            }
            request.hold_ms = 0;
        }
    }

    /// Whether a slot of the target that caches the chat is likely to be free
    /// before the cache is worth less than the wait.
    fn is_worth_holding(&self, request: &SlotRequest, target: &TargetId) -> bool {
        let pool = &self.pools[&request.service];
        let limits = &pool.versioned.document.limits;
        let ahead = pool.queues.get(target).map_or(0, crate::Queue::len);
        let hold = Duration::from_millis(u64::from(request.hold_ms));
        let wait = pool
            .slots
            .get(target)
            .map(|s| s.wait_estimate(ahead, limits));
        request.hold_ms > 0 && wait.is_some_and(|wait| wait <= hold)
    }

    /// Lets an ask wait a short while for the target that caches its chat.
    fn hold(
        &mut self,
        now: Time,
        mut request: SlotRequest,
        target: &TargetId,
        out: &mut Vec<Command>,
    ) {
        let hold = Duration::from_millis(u64::from(std::mem::take(&mut request.hold_ms)));
        self.counters.held_back += 1;
        self.push(now, target, request, now + hold, out);
    }

    pub(super) fn pass_on(
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
        // The receiver knows the sender, so the entry's name is left out on its own hop.
        if request.entry == self.me {
            request.entry = InstanceId::default();
        }
        self.counters.passed_on += 1;
        out.push(Command::Send {
            to,
            message: Message::SlotRequest(request),
        });
    }

    /// The next target to try: the one that was asked for, then where the
    /// chat's cache lies, then the chat's own order, the ones known to be full
    /// last.
    fn choose(&self, request: &mut SlotRequest) -> Option<TargetId> {
        let pool = &self.pools[&request.service];
        let wanted = std::mem::take(&mut request.target);
        if !wanted.is_empty() && self.is_candidate(pool, &wanted, request) {
            return Some(wanted);
        }
        let places = self.chats.locations(request.chat);
        if let Some(place) = places.first().filter(|_| request.tried.is_empty()) {
            request.hold_ms = hold_ms(&pool.versioned.document.limits, place);
            if request.hold_ms > 0 && self.is_candidate(pool, &place.target, request) {
                return Some(place.target.clone());
            }
        }
        let cached = places
            .iter()
            .map(|p| p.target.as_str())
            .filter(|t| self.is_candidate(pool, t, request));
        let ranking = pool.ranking(request.chat);
        let ranked: Vec<&str> = ranking
            .into_iter()
            .filter(|t| self.is_candidate(pool, t, request))
            .collect();
        let preferred = cached.chain(ranked.iter().copied());
        let free = preferred.clone().find(|t| !is_known_full(pool, t));
        let chosen = match free {
            Some(first) if places.is_empty() && request.tried.is_empty() => {
                Some(less_used(pool, first, &ranked))
            }
            Some(first) => Some(first),
            None => preferred.into_iter().next(),
        };
        chosen.map(TargetId::from)
    }

    pub(super) fn is_candidate(&self, pool: &Pool, target: &str, request: &SlotRequest) -> bool {
        let Some(spec) = pool.spec(target) else {
            return false;
        };
        !request.tried.contains(&spec.id) && !self.is_drained(&spec.id, &spec.domain)
    }

    /// Grants a slot of a target that this instance stewards.
    ///
    /// `over` is the number of requests over the bound that are allowed, for
    /// an ask that every target has denied: the known mean is then too low.
    pub(super) fn try_grant(
        &mut self,
        now: Time,
        request: &SlotRequest,
        target: &TargetId,
        over: u32,
        out: &mut Vec<Command>,
    ) -> Result<(), Denial> {
        let grant = self.mint_grant();
        let me = self.me.clone();
        let pool = self.pools.get_mut(&request.service).expect("pool");
        let limits = &pool.versioned.document.limits;
        let slots = pool.slots.get_mut(target).ok_or(Denial::Down)?;
        let cap = slots.cap(limits);
        let bound = pool.loads.bound(cap, limits.multiple) + over;
        let entry = if request.entry.is_empty() {
            me
        } else {
            request.entry.clone()
        };
        let holder = (entry, request.workspace.clone());
        slots
            .grant(now, grant, holder, bound, request.suspect, limits)
            .inspect_err(|denial| self.counters.denied(*denial))?;
        pool.note_load(now, target);
        if pool.home(request.chat) == Some(&self.me)
            && self.chats.locations(request.chat).is_empty()
        {
            // A chat that returns before its release has come finds its way too.
            let place = CacheLocation {
                target: target.clone(),
                tokens: 1,
            };
            self.chats.record(now, request.chat, place);
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

    /// Answers an ask: over the mesh, or here where this is the entry.
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
            Message::Grant(grant) => self.grant_came(now, &me, grant, out),
            Message::Deny { request, code } => self.deny_came(now, request, code, out),
            Message::Queued(request) => self.queued_came(now, request, &me),
            _ => {}
        }
    }

    pub(super) fn deny(&mut self, request: &SlotRequest, code: DenyCode, out: &mut Vec<Command>) {
        let message = Message::Deny {
            request: request.id,
            code,
        };
        let now = self.last;
        self.reply(&request.entry.clone(), message, now, out);
    }

    /// Sends an ask that every target has denied to the home's queue.
    fn exhausted(&mut self, now: Time, mut request: SlotRequest, out: &mut Vec<Command>) {
        let pool = &self.pools[&request.service];
        let targets = &pool.versioned.document.targets;
        let takes_work = targets.iter().any(|t| !self.is_drained(&t.id, &t.domain));
        let home = pool.home(request.chat).cloned();
        request.full = true;
        match home {
            _ if !takes_work => self.deny(&request, DenyCode::NoTarget, out),
            Some(home) if home == self.me => self.enqueue(now, request, out),
            Some(home) if request.hops <= HOPS => {
                request.tried.clear();
                self.pass_on(home, TargetId::default(), request, out);
            }
            _ if !pool.slots.is_empty() => self.enqueue(now, request, out),
            _ => self.deny(&request, DenyCode::Unsettled, out),
        }
    }

    /// Frees the slot of an attempt and notes where the chat's cache lies.
    pub(super) fn released(&mut self, now: Time, release: &Release, out: &mut Vec<Command>) {
        let Some(pool) = self.pools.get_mut(&release.service) else {
            return;
        };
        let target = &release.location.target;
        let first = release.first_ms.map(|ms| f64::from(ms) / 1_000.0);
        let is_freed = pool
            .slots
            .get_mut(target)
            .is_some_and(|s| s.release(now, release.grant, release.complete, first));
        if is_freed
            && release.refused
            && let Some(slots) = pool.slots.get_mut(target)
        {
            slots.unreachable(now);
        }
        if is_freed {
            pool.note_load(now, target);
        }
        if release.complete && pool.home(release.chat) == Some(&self.me) {
            self.chats
                .record(now, release.chat, release.location.clone());
        }
        if is_freed {
            self.serve(now, &release.service, target, out);
        }
    }

    pub(super) fn holds_came(&mut self, now: Time, from: &InstanceId, holds: Vec<HeldGrant>) {
        for hold in holds {
            let Some(pool) = self.pools.get_mut(&hold.service) else {
                continue;
            };
            if let Some(slots) = pool.slots.get_mut(&hold.target) {
                slots.hold(now, hold.grant, (from.clone(), hold.workspace));
                pool.note_load(now, &hold.target);
            }
        }
    }

    pub(super) fn cached(
        &mut self,
        service: &ServiceId,
        target: &TargetId,
        chats: Vec<(ChatId, u32)>,
        out: &mut Vec<Command>,
    ) {
        let Some(pool) = self.pools.get(service) else {
            return;
        };
        let mut elsewhere = std::collections::BTreeMap::<InstanceId, Vec<_>>::new();
        for (chat, tokens) in chats {
            let place = CacheLocation {
                target: target.clone(),
                tokens,
            };
            match pool.home(chat) {
                Some(home) if *home == self.me => self.chats.correct(chat, place),
                Some(home) => elsewhere
                    .entry(home.clone())
                    .or_default()
                    .push((chat, place)),
                None => {}
            }
        }
        for (to, chats) in elsewhere {
            let message = Message::CachedTokens(chats);
            out.push(Command::Send { to, message });
        }
    }
}

/// Milliseconds for which it is worth waiting for a chat's cache.
fn hold_ms(limits: &Limits, place: &CacheLocation) -> u16 {
    let saved = limits.token_time * place.tokens;
    u16::try_from(saved.min(limits.hold_time).as_millis()).unwrap_or(u16::MAX)
}

pub(super) fn is_known_full(pool: &Pool, target: &str) -> bool {
    let limits = &pool.versioned.document.limits;
    let Some((load, cap)) = pool.loads.get(target) else {
        return false;
    };
    load >= cap.min(pool.loads.bound(cap, limits.multiple))
}

/// The least used of a new chat's first choices (Mitzenmacher, "The Power of
/// Two Choices in Randomized Load Balancing", 2001).
fn less_used<'a>(pool: &Pool, first: &'a str, ranked: &[&'a str]) -> &'a str {
    let load = |target: &str| pool.loads.get(target).filter(|l| l.1 > 0);
    let share = |(load, cap): (u32, u32)| f64::from(load) / f64::from(cap);
    let Some((first_load, first_cap)) = load(first) else {
        return first;
    };
    let others = ranked.iter().filter(|t| **t != first).take(CHOICES - 1);
    let known = others.filter_map(|t| load(t).map(|l| (share(l), *t)));
    let least = known.min_by(|a, b| a.0.total_cmp(&b.0));
    // A lead of one request may be no more than a release that is on its way.
    let margin = f64::from(CHOICES_LEAD) / f64::from(first_cap);
    match least {
        Some((other, target)) if other + margin <= share((first_load, first_cap)) => target,
        _ => first,
    }
}
