//! Pulses and table updates between instances.
//!
//! [`Fleet`] decides which pulses are due; this module sends them over the mesh,
//! handles incoming messages and passes changes of the store's tables on.

use crate::state::{Applied, Gap, TABLES};
use crate::{Error, Result, Settings, SharedGateway};
use crate::{crashes, room};
use decision::{
    CopyStatus, Era, Fleet, InstanceId, Listing, LoadSummary, MAX_MESSAGE_BYTES, Message,
    OutgoingPulse, PageRequest, Parcel, Position, Pulse, PulseScope, Received, TablePage,
    TableUpdate, Time, TransferLimiter, hash_parts,
};
use exchange::MemoryBudget;
use peer::{Mesh as _, PeerEvent, WsMesh};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

/// Interval between queries to seeds while this instance lacks a table. The
/// store responds to a seed in a few milliseconds, but all instances may start
/// at once and query the seeds.
const SEED_INTERVAL: Duration = Duration::from_millis(60);
/// Interval at which requests for missing changes that are due are looked for.
const PULL_INTERVAL: Duration = Duration::from_millis(100);
/// Time that changes have to arrive after a pulse that tells of them, which may pass them
/// on their way.
const PUSH_TIME: Duration = Duration::from_millis(80);
/// Capacity of the queue of mesh events that wait to be handled.
const EVENT_QUEUE: usize = 1_024;

/// Method of [`Fleet`] that returns the pulses to send at one step of a round.
type BuildPulses = fn(&mut Fleet, Time, &LoadSummary, &[Option<CopyStatus>]) -> Vec<OutgoingPulse>;

/// Handle to the connections with the other instances.
#[derive(Clone)]
pub(crate) struct Mesh(Arc<WsMesh>);

/// Opens the listening socket of the mesh; returns its handle and its events.
pub(crate) async fn bind(
    settings: &mut Settings,
    incarnation: u64,
    memory: &MemoryBudget,
) -> Result<(Mesh, flume::Receiver<PeerEvent>)> {
    let (sender, events) = flume::bounded(EVENT_QUEUE);
    let (instance, listen) = (settings.instance.clone(), settings.listen.peers);
    let mesh = WsMesh::builder(instance, incarnation, listen, sender)
        .allow_plaintext()
        .connections(settings.machine.door_limits().peers)
        .memory(memory.clone())
        .start()
        .await
        .map_err(|source| Error::Mesh { source })?;
    settings.listen.peers = mesh.local_addr();
    Ok((Mesh(mesh), events))
}

/// Starts the tasks that receive messages, query seeds and send pulses.
pub(crate) fn start(gateway: &SharedGateway, mesh: &Mesh, events: flume::Receiver<PeerEvent>) {
    let (shared, receiver) = (gateway.clone(), mesh.clone());
    tokio::task::spawn_local(async move {
        while let Ok(event) = events.recv_async().await {
            receiver.receive(&shared, event);
        }
    });
    let (shared, querier) = (gateway.clone(), mesh.clone());
    tokio::task::spawn_local(async move {
        for round in 0.. {
            if shared.is_started() {
                break;
            }
            querier.query_seed(&shared, round);
            tokio::time::sleep(SEED_INTERVAL).await;
        }
    });
    let (shared, puller) = (gateway.clone(), mesh.clone());
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(PULL_INTERVAL).await;
            shared.pages.borrow_mut().drop_unused(shared.now());
            (0..TABLES.len()).for_each(|table| puller.pull(&shared, table));
        }
    });
    let (shared, sender) = (gateway.clone(), mesh.clone());
    tokio::task::spawn_local(async move {
        loop {
            sender.send_pulses(&shared, Fleet::tick);
            let delay = shared.fleet.borrow().domain_pulse_delay(shared.now());
            if let Some(delay) = delay {
                tokio::time::sleep(delay).await;
                sender.send_pulses(&shared, Fleet::pulse_domain);
            }
            let wait = shared.fleet.borrow().next_tick_delay(shared.now());
            tokio::time::sleep(wait).await;
        }
    });
}

impl Mesh {
    /// Sends pulses immediately, so that others learn of a change of this instance.
    pub(crate) fn announce(&self, gateway: &SharedGateway) {
        self.send_pulses(gateway, Fleet::tick);
        self.send_pulses(gateway, Fleet::pulse_domain);
    }

    /// Sends pulses immediately if this instance is a hub, so that others fetch a copy
    /// of a later era from it.
    pub(crate) fn announce_copies(&self, gateway: &SharedGateway) {
        let is_hub = gateway.fleet.borrow().is_hub(gateway.now());
        if is_hub {
            self.announce(gateway);
        }
    }

    /// Sends the pulses of one step and updates the router with what the fleet
    /// knows of the other instances.
    fn send_pulses(&self, gateway: &SharedGateway, build: BuildPulses) {
        let now = gateway.now();
        let own = LoadSummary {
            contended: room::contended(gateway),
            ..gateway.router.borrow().own_load(now)
        };
        let statuses = gateway.copy_statuses();
        let mut fleet = gateway.fleet.borrow_mut();
        fleet.set_starting(!gateway.is_started());
        let crashes = gateway.router.borrow().crash_reports(now);
        let configuration = gateway.router.borrow().version();
        let mut rollouts = None;
        for mut outgoing in build(&mut fleet, now, &own, &statuses) {
            outgoing.pulse.configuration = configuration;
            outgoing.pulse.crashes.clone_from(&crashes);
            // All pulses of one step have one scope.
            let scope = outgoing.pulse.scope;
            let news = rollouts
                .get_or_insert_with(|| gateway.router.borrow_mut().rollouts().news(now, scope));
            outgoing.pulse.rollouts.clone_from(news);
            let message = Message::Pulse(Box::new(outgoing.pulse));
            self.0.send(&outgoing.to, outgoing.address, &message);
        }
        let mut router = gateway.router.borrow_mut();
        let (instances, position) = fleet.share(now);
        router.set_share(instances, position);
        router.remove_lapsed(now);
        drop((fleet, router));
        gateway.update_remote_load(now);
        let warmups = gateway.router.borrow_mut().update_paces(now);
        for change in warmups {
            let label = if change.has_begun { "begun" } else { "ended" };
            gateway.metrics.count("warmups", label);
            gateway.event_log.state_change(&json!({
                "event": "warm-up", "target": change.target, "step": label, "pace": change.pace,
            }));
        }
        crashes::log_changes(gateway);
    }

    /// Introduces this instance to one seed and fetches the tables that it lacks
    /// from it. `round` selects the seed.
    fn query_seed(&self, gateway: &SharedGateway, round: usize) {
        let settings = gateway.settings.borrow();
        let seeds = settings.seed_addresses();
        // Instances that start together begin with different seeds.
        let first = hash_parts(&[settings.instance.as_bytes()]) as usize;
        let Some(index) = first.wrapping_add(round).checked_rem(seeds.len()) else {
            return;
        };
        let address = seeds[index];
        // The seed's instance name is unknown; the mesh needs any unique name.
        let name = smol_str::format_smolstr!("seed {address}");
        let join_pulse = gateway.fleet.borrow().join_pulse(gateway.now());
        let pulse = Message::Pulse(Box::new(join_pulse));
        self.0.send(&name, address, &pulse);
        for (table, copy) in gateway.copies.borrow().iter().enumerate() {
            let is_coming = gateway.pullers.borrow()[table].is_progressing(gateway.now());
            if copy.position().is_none() && !is_coming {
                self.0
                    .send(&name, address, &Message::FetchTable(table as u8, None));
            }
        }
    }

    fn receive(&self, gateway: &SharedGateway, event: PeerEvent) {
        let now = gateway.now();
        match event {
            PeerEvent::ConnectionFailed(id) => {
                gateway.fleet.borrow_mut().peer_lost(now, &id);
                gateway.transfers.borrow_mut().peer_lost(&id);
                let mut pullers = gateway.pullers.borrow_mut();
                pullers.iter_mut().for_each(|p| p.peer_lost(now, &id));
            }
            PeerEvent::Message { from, message } => match message {
                Message::Pulse(pulse) => self.receive_pulse(gateway, &from, *pulse),
                Message::TableUpdate(table, update) => {
                    self.receive_update(gateway, &from, table.into(), *update);
                }
                Message::FetchTable(table, known) => {
                    self.answer_fetch(gateway, &from, table, known);
                }
                Message::TablePage(page) => self.receive_page(gateway, &from, &page),
                Message::FetchPages(request) => self.answer_pages(gateway, &from, &request),
                Message::Room(message) => room::receive(gateway, &from, message),
                other => log::debug!("ignoring {} message from {from}", other.kind()),
            },
        }
    }

    fn receive_pulse(&self, gateway: &SharedGateway, from: &InstanceId, pulse: Pulse) {
        let now = gateway.now();
        let statuses = pulse.copies.clone();
        for status in statuses.iter().flatten() {
            gateway.note_era(status.era, from);
        }
        let is_new = !gateway.fleet.borrow().knows_peer(from);
        let is_fleet_wide = pulse.scope == PulseScope::All;
        let mut router = gateway.router.borrow_mut();
        router.merge_crashes(now, &pulse.crashes);
        let rollouts = router.rollouts();
        rollouts.receive(now, from, pulse.scope, &pulse.rollouts);
        if let Some(version) = pulse.configuration {
            router.note_configuration(now, version);
        }
        drop(router);
        let proofs = gateway.fleet.borrow_mut().receive_pulse(now, from, pulse);
        if is_fleet_wide {
            gateway.update_remote_load(now);
        }
        for (table, proof) in proofs.into_iter().enumerate().take(TABLES.len()) {
            if let Some((status, at)) = proof {
                gateway.verify_table(table, status.position(), status.changed, at);
            }
        }
        if is_new {
            let mut reply = gateway.fleet.borrow().join_reply(now, from);
            reply.copies = gateway.copy_statuses();
            reply.configuration = gateway.router.borrow().version();
            reply.crashes = gateway.router.borrow().crash_reports(now);
            self.send(gateway, from, &Message::Pulse(Box::new(reply)));
        }
        for (table, status) in statuses.into_iter().enumerate().take(TABLES.len()) {
            let known = gateway.copies.borrow()[table].position();
            match status {
                Some(s) if known.is_none_or(|known| s.last_change() > known) => {
                    self.request_changes(gateway, from, table, s.last_change(), now + PUSH_TIME);
                }
                _ => {}
            }
        }
    }

    /// Asks for the changes of a table up to a position that an instance has, unless they
    /// arrive before `due`.
    fn request_changes(
        &self,
        gateway: &SharedGateway,
        from: &InstanceId,
        table: usize,
        change: Position,
        due: Time,
    ) {
        if !gateway.fleet.borrow().takes_pages(from) {
            return self.fetch_table(gateway, from, table, change.era);
        }
        gateway.pullers.borrow_mut()[table].note_change(from, change, due);
        self.pull(gateway, table);
    }

    /// Sends the request for missing changes of a table that is due.
    fn pull(&self, gateway: &SharedGateway, table: usize) {
        let now = gateway.now();
        let copy = gateway.copies.borrow()[table].position();
        let lacks_changes = gateway.pullers.borrow()[table].lacks_changes(copy);
        let fleet = gateway.fleet.borrow();
        let sources = lacks_changes.then(|| fleet.table_sources(now));
        let sources = sources.unwrap_or_default();
        drop(fleet);
        let ask = gateway.pullers.borrow_mut()[table].next_ask(now, copy, &sources);
        if let Some(ask) = ask {
            self.send(gateway, &ask.to, &Message::FetchPages(ask.request));
        }
    }

    fn receive_page(&self, gateway: &SharedGateway, from: &InstanceId, page: &TablePage) {
        let table = usize::from(page.table);
        if table >= TABLES.len() {
            return;
        }
        gateway.note_era(page.era, from);
        let copy = gateway.copies.borrow()[table].position();
        let received = gateway.pullers.borrow_mut()[table].receive(gateway.now(), from, page, copy);
        match received {
            Received::Nothing => {}
            Received::Ask(ask) => {
                return self.send(gateway, &ask.to, &Message::FetchPages(ask.request));
            }
            Received::Complete(parcel) => self.apply_parcel(gateway, table, &parcel),
        }
        self.pull(gateway, table);
    }

    /// Applies a parcel and, on a hub, passes the changes on.
    fn apply_parcel(&self, gateway: &SharedGateway, table: usize, parcel: &Parcel) {
        let contents = parcel.unpack(&gateway.copies.borrow()[table]);
        let contents = match contents {
            Ok(contents) => contents,
            Err(e) => {
                gateway.metrics.count("parcels_unusable", TABLES[table]);
                log::debug!("a parcel of the table {} is {e:?}", TABLES[table]);
                return gateway.pullers.borrow_mut()[table].reject();
            }
        };
        gateway.metrics.count("parcels", TABLES[table]);
        gateway.copies.borrow_mut()[table].keep_steps(contents.steps);
        // A gap can't occur here: the parcel was begun because it follows on the copy.
        if let Ok(Applied::Changed(update)) = gateway.apply_update(table, contents.update) {
            self.forward_update(gateway, table, &update);
        }
    }

    fn answer_pages(&self, gateway: &SharedGateway, from: &InstanceId, request: &PageRequest) {
        let copies = gateway.copies.borrow();
        let Some(copy) = copies.get(usize::from(request.table)) else {
            return;
        };
        let now = gateway.now();
        let pages = gateway.pages.borrow_mut().answer(now, request, copy);
        if pages.is_empty() {
            let name = TABLES[usize::from(request.table)];
            gateway.metrics.count("pages_not_given", name);
        }
        for page in pages {
            self.send(gateway, from, &Message::TablePage(Box::new(page)));
        }
    }

    /// Asks an instance whose copy of a table is of an era for the changes that this
    /// instance lacks, or for all rows if its copy is of another era.
    fn fetch_table(&self, gateway: &SharedGateway, from: &InstanceId, table: usize, era: Era) {
        let position = gateway.copies.borrow()[table].position();
        let known = position.filter(|p| p.era == era).map(|p| p.version);
        self.send(gateway, from, &Message::FetchTable(table as u8, known));
    }

    fn receive_update(
        &self,
        gateway: &SharedGateway,
        from: &InstanceId,
        table: usize,
        update: TableUpdate,
    ) {
        if table >= TABLES.len() {
            return;
        }
        let position = update.position();
        gateway.note_era(position.era, from);
        match gateway.apply_update(table, update) {
            Ok(Applied::Changed(update)) => self.forward_update(gateway, table, &update),
            Ok(Applied::Unchanged | Applied::Replaced | Applied::Stale) => {}
            Err(Gap) => self.request_changes(gateway, from, table, position, gateway.now()),
        }
    }

    /// Sends an instance the rows of a table that changed after the version that it
    /// knows, as far as the transfer limit allows. An instance that gets nothing
    /// reads the store itself once its copy is too old.
    fn answer_fetch(
        &self,
        gateway: &SharedGateway,
        from: &InstanceId,
        table: u8,
        known: Option<u64>,
    ) {
        let now = gateway.now();
        let copies = gateway.copies.borrow();
        let Some(copy) = copies.get(usize::from(table)) else {
            return;
        };
        let takes_pages = gateway.fleet.borrow().takes_pages(from);
        if takes_pages && copy.changes_size(known) > MAX_MESSAGE_BYTES {
            // One that starts asks many times before the first page arrives.
            if !gateway
                .transfers
                .borrow_mut()
                .allow_full_table(now, from, table)
            {
                return;
            }
            let request = PageRequest {
                table,
                era: copy.position().unwrap_or_default().era,
                known,
                digest: 0,
                offset: 0,
            };
            return self.answer_pages(gateway, from, &request);
        }
        let Some(update) = copy.updates_since(known) else {
            return;
        };
        let mut transfers = gateway.transfers.borrow_mut();
        let is_full_table = update.since.is_none();
        let is_allowed = !is_full_table || transfers.allow_full_table(now, from, table);
        let bytes = update.byte_size();
        let is_allowed = is_allowed && TransferLimiter::fits_message(bytes);
        if is_allowed && transfers.allow_bytes(now, bytes) {
            self.send(
                gateway,
                from,
                &Message::TableUpdate(table, Box::new(update)),
            );
        } else {
            gateway
                .metrics
                .count("tables_not_given", TABLES[usize::from(table)]);
        }
    }

    /// Sends an update that this instance has read from the store to the other hubs
    /// and to its failure domain, if it is a hub.
    pub(crate) fn publish_update(
        &self,
        gateway: &SharedGateway,
        table: usize,
        update: &TableUpdate,
    ) {
        self.forward_update(gateway, table, update);
        let now = gateway.now();
        let hubs = {
            let fleet = gateway.fleet.borrow();
            fleet.is_hub(now).then(|| fleet.other_hubs(now))
        };
        self.push_update(gateway, table, update, hubs.unwrap_or_default());
    }

    /// Sends an update to the instances of the failure domain, if this instance is
    /// its hub.
    fn forward_update(&self, gateway: &SharedGateway, table: usize, update: &TableUpdate) {
        let receivers = gateway.fleet.borrow().update_recipients(gateway.now());
        self.push_update(gateway, table, update, receivers);
    }

    /// Sends an update to instances, or its first page where it is large.
    fn push_update(
        &self,
        gateway: &SharedGateway,
        table: usize,
        update: &TableUpdate,
        receivers: Vec<Listing>,
    ) {
        let (now, bytes) = (gateway.now(), update.byte_size());
        let is_large = bytes > MAX_MESSAGE_BYTES;
        let (in_pages, whole): (Vec<Listing>, Vec<Listing>) = {
            let fleet = gateway.fleet.borrow();
            let receivers = receivers.into_iter();
            receivers.partition(|to| is_large && fleet.takes_pages(&to.id))
        };
        if let Some(since) = update.since.filter(|_| !in_pages.is_empty()) {
            let copies = gateway.copies.borrow();
            let source = (table as u8, &copies[table]);
            let mut pages = gateway.pages.borrow_mut();
            let page = pages.first_page(now, source, since, in_pages.len());
            match page {
                Some(page) => self.send_all(&in_pages, &Message::TablePage(Box::new(page))),
                None => gateway.record_too_large(table, "changes"),
            }
        }
        if whole.is_empty() || !TransferLimiter::fits_message(bytes) {
            return;
        }
        let message = Message::TableUpdate(table as u8, Box::new(update.clone()));
        self.send_all(&whole, &message);
    }

    fn send_all(&self, receivers: &[Listing], message: &Message) {
        for to in receivers {
            self.0.send(&to.id, to.peer, message);
        }
    }

    pub(crate) fn send(&self, gateway: &SharedGateway, to: &InstanceId, message: &Message) {
        let address = gateway.fleet.borrow().peer_address(to);
        if let Some(address) = address {
            self.0.send(to, address, message);
        }
    }

    /// Returns the messages and bytes sent and received so far, by kind.
    pub(crate) fn traffic(&self) -> peer::Traffic {
        self.0.traffic()
    }
}
