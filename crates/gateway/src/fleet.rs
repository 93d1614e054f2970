//! Pulses and news between instances.

use crate::state::{Gap, TABLES};
use crate::{Error, Result, Settings, Shared};
use decision::{
    CopyStatus, Fleet, InstanceId, LoadSummary, Message, OutgoingPulse, Pulse, PulseScope,
    TableUpdate, Time, hash_parts,
};
use peer::{Mesh as _, PeerEvent, WsMesh};
use std::sync::Arc;
use std::time::Duration;

/// Interval at which a seed is asked: the store answers a seed in a few
/// milliseconds, and all instances may start at once.
const ASK: Duration = Duration::from_millis(60);
/// Events of the mesh that wait.
const EVENTS_WAITING: usize = 1_024;

/// What is sent in one step of the fleet's pulses.
type Step = fn(&mut Fleet, Time, &LoadSummary, &[Option<CopyStatus>]) -> Vec<OutgoingPulse>;

/// The way to the other instances.
#[derive(Clone)]
pub(crate) struct Mesh(Arc<WsMesh>);

/// Opens the socket of the mesh.
pub(crate) async fn bind(
    settings: &mut Settings,
    incarnation: u64,
) -> Result<(Mesh, flume::Receiver<PeerEvent>)> {
    let (sender, events) = flume::bounded(EVENTS_WAITING);
    let (instance, listen) = (settings.instance.clone(), settings.listen.peers);
    let mesh = WsMesh::builder(instance, incarnation, listen, sender)
        .allow_plaintext()
        .start()
        .await
        .map_err(|source| Error::Mesh { source })?;
    settings.listen.peers = mesh.local_addr();
    Ok((Mesh(mesh), events))
}

/// Starts to receive and to send pulses.
pub(crate) fn start(gateway: &Shared, mesh: &Mesh, events: flume::Receiver<PeerEvent>) {
    let (receiving, receiver) = (gateway.clone(), mesh.clone());
    tokio::task::spawn_local(async move {
        while let Ok(event) = events.recv_async().await {
            receiver.receive(&receiving, event);
        }
    });
    let (asking, asker) = (gateway.clone(), mesh.clone());
    tokio::task::spawn_local(async move {
        for turn in 0.. {
            if asking.is_started() {
                break;
            }
            asker.ask_seed(&asking, turn);
            tokio::time::sleep(ASK).await;
        }
    });
    let (pulsing, sender) = (gateway.clone(), mesh.clone());
    tokio::task::spawn_local(async move {
        loop {
            sender.pulse(&pulsing, Fleet::tick);
            let exchange = pulsing.fleet.borrow().exchange(pulsing.now());
            if let Some(exchange) = exchange {
                tokio::time::sleep(exchange).await;
                sender.pulse(&pulsing, Fleet::tell_domain);
            }
            let wait = pulsing.fleet.borrow().wait(pulsing.now());
            tokio::time::sleep(wait).await;
        }
    });
}

impl Mesh {
    /// Tells at once what has changed of this instance.
    pub(crate) fn announce(&self, gateway: &Shared) {
        self.pulse(gateway, Fleet::tick);
        self.pulse(gateway, Fleet::tell_domain);
    }

    /// Sends the pulses of one step and takes the loads of the others.
    fn pulse(&self, gateway: &Shared, step: Step) {
        let now = gateway.now();
        let own = gateway.router.borrow().own_work(now);
        let feeds = gateway.feed_ages();
        let mut fleet = gateway.fleet.borrow_mut();
        fleet.start(!gateway.is_started());
        for outgoing in step(&mut fleet, now, &own, &feeds) {
            let message = Message::Pulse(Box::new(outgoing.pulse));
            self.0.send(&outgoing.to, outgoing.address, &message);
        }
        let mut router = gateway.router.borrow_mut();
        let (instances, position) = fleet.share(now);
        router.share_of(instances, position);
        router.sweep(now);
        drop((fleet, router));
        gateway.take_others(now);
    }

    /// Asks one seed after the other for all that an instance needs, while it
    /// knows nothing.
    fn ask_seed(&self, gateway: &Shared, turn: usize) {
        let settings = gateway.settings.borrow();
        let seeds = settings.other_seeds();
        // Those that start together begin with different ones.
        let first = hash_parts(&[settings.instance.as_bytes()]) as usize;
        let Some(place) = first.wrapping_add(turn).checked_rem(seeds.len()) else {
            return;
        };
        let address = seeds[place];
        // Its name is not known; the mesh only needs one for the link.
        let name = smol_str::format_smolstr!("seed {address}");
        let introduction = gateway.fleet.borrow().introduction(gateway.now());
        let pulse = Message::Pulse(Box::new(introduction));
        self.0.send(&name, address, &pulse);
        for (table, feed) in gateway.feeds.borrow().iter().enumerate() {
            if feed.version().is_none() {
                self.0
                    .send(&name, address, &Message::NewsAsk(table as u8, None));
            }
        }
    }

    fn receive(&self, gateway: &Shared, event: PeerEvent) {
        let now = gateway.now();
        match event {
            PeerEvent::ConnectionFailed(id) => {
                gateway.fleet.borrow_mut().lost(now, &id);
                gateway.supply.borrow_mut().lost(&id);
            }
            PeerEvent::Message { from, message } => match message {
                Message::Pulse(pulse) => self.pulsed(gateway, &from, *pulse),
                Message::News(table, news) => self.told(gateway, &from, table.into(), *news),
                Message::NewsAsk(table, known) => self.asked(gateway, &from, table, known),
                other => log::debug!("{from} sent {}, which is not used here", other.kind()),
            },
        }
    }

    fn pulsed(&self, gateway: &Shared, from: &InstanceId, pulse: Pulse) {
        let now = gateway.now();
        let feeds = pulse.feeds.clone();
        let is_new = !gateway.fleet.borrow().knows(from);
        let is_total = pulse.scope == PulseScope::All;
        let proof = gateway.fleet.borrow_mut().pulse(now, from, pulse);
        if is_total {
            gateway.take_others(now);
        }
        for (table, proof) in proof.into_iter().enumerate().take(TABLES.len()) {
            if let Some((feed, at)) = proof {
                gateway.verify(table, feed.version, feed.changed, at);
            }
        }
        if is_new {
            let welcome = gateway.fleet.borrow().welcome(now, from);
            self.send(gateway, from, &Message::Pulse(Box::new(welcome)));
        }
        for (table, feed) in feeds.into_iter().enumerate().take(TABLES.len()) {
            let known = gateway.feeds.borrow()[table].version();
            if feed.is_some_and(|f| known.is_none_or(|k| f.changed > k)) {
                self.send(gateway, from, &Message::NewsAsk(table as u8, known));
            }
        }
    }

    fn told(&self, gateway: &Shared, from: &InstanceId, table: usize, news: TableUpdate) {
        if table >= TABLES.len() {
            return;
        }
        match gateway.apply(table, news) {
            Ok(Some(news)) => self.pass_on(gateway, table, &news),
            Ok(None) => {}
            Err(Gap) => {
                let known = gateway.feeds.borrow()[table].version();
                self.send(gateway, from, &Message::NewsAsk(table as u8, known));
            }
        }
    }

    /// Answers a question for news, as far as the rate allows: who gets nothing
    /// reads the store once its copy falls behind.
    fn asked(&self, gateway: &Shared, from: &InstanceId, table: u8, known: Option<u64>) {
        let now = gateway.now();
        let feeds = gateway.feeds.borrow();
        let Some(feed) = feeds.get(usize::from(table)) else {
            return;
        };
        let Some(news) = feed.since(known) else {
            return;
        };
        let mut supply = gateway.supply.borrow_mut();
        let is_whole = news.since.is_none();
        let is_given = !is_whole || supply.take_whole(now, from, table);
        if is_given && supply.take(now, news.size()) {
            self.send(gateway, from, &Message::News(table, Box::new(news)));
        } else {
            gateway
                .metrics
                .count("tables_not_given", TABLES[usize::from(table)]);
        }
    }

    /// Tells news that this instance has read: to its domain if it is the hub,
    /// and to the other hubs.
    pub(crate) fn tell_news(&self, gateway: &Shared, table: usize, news: &TableUpdate) {
        self.pass_on(gateway, table, news);
        let now = gateway.now();
        let fleet = gateway.fleet.borrow();
        if fleet.is_hub(now) {
            let message = Message::News(table as u8, Box::new(news.clone()));
            for hub in fleet.other_hubs(now) {
                self.0.send(&hub.id, hub.peer, &message);
            }
        }
    }

    /// Passes news on to the domain, if this instance is its hub.
    fn pass_on(&self, gateway: &Shared, table: usize, news: &TableUpdate) {
        let message = Message::News(table as u8, Box::new(news.clone()));
        for listing in gateway.fleet.borrow().audience(gateway.now()) {
            self.0.send(&listing.id, listing.peer, &message);
        }
    }

    fn send(&self, gateway: &Shared, to: &InstanceId, message: &Message) {
        let address = gateway.fleet.borrow().address(to);
        if let Some(address) = address {
            self.0.send(to, address, message);
        }
    }

    /// Bytes and messages by kind.
    pub(crate) fn traffic(&self) -> peer::Traffic {
        self.0.traffic()
    }
}
