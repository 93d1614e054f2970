//! Where work goes under heavy loads, with loads of others that are told late.

use decision::{
    AttemptOutcome, Configuration, DomainId, Fleet, InstanceId, Lease, Listing, Pulse, PulseScope,
    Router, RouterBounds, ServiceId, ServiceSpec, TargetEntry, TargetId, TargetQuery, TargetStage,
    rank,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Step of the virtual time.
const STEP: Duration = Duration::from_millis(10);
/// Seconds over which the operators count requests above the limit.
const WINDOW: usize = 5;
/// Failure domains.
const DOMAINS: u16 = 3;
/// Longest time that a pulse takes, or that a timer fires late.
const LATE: Duration = Duration::from_millis(20);

struct Load {
    instances: usize,
    targets: u16,
    /// Requests a second.
    rate: f64,
    /// Seconds that one lasts on average.
    length: f64,
    subjects: u64,
    /// Share of the requests that are about one subject.
    hot: f64,
    seconds: u64,
    /// What leaves targets of the pool out from a third of the time on.
    change: Change,
}

/// What leaves targets out of those that take requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    None,
    /// One of three failure domains is evacuated and later taken back cold.
    Evacuation,
    /// A quarter of the targets drain.
    Drain,
    /// A third of the targets turn cold, and stay so.
    Cold,
    /// A failure domain is evacuated while targets of the others drain.
    EvacuationAndDrain,
    /// The hub of a failure domain falls silent, and its callers go elsewhere.
    SilentHub,
}

impl Change {
    /// Changes what all routers know of the targets.
    fn begin(self, now: Duration, routers: &mut [Router], targets: u16) {
        let is_out = matches!(self, Change::Evacuation | Change::EvacuationAndDrain);
        for router in routers {
            router.set_evacuated(&domain(0), is_out);
            for number in 0..targets {
                let changed = match self {
                    Change::Drain if number % 4 == 0 => (TargetStage::Draining, Duration::ZERO),
                    Change::EvacuationAndDrain if number % 9 == 1 => {
                        (TargetStage::Draining, Duration::ZERO)
                    }
                    Change::Cold if number % 3 == 0 => {
                        (TargetStage::Ready, Duration::from_secs(60))
                    }
                    _ => continue,
                };
                let (stage, cold_left) = changed;
                let changed = TargetEntry {
                    stage,
                    cold_left,
                    ..entry(number)
                };
                router.update_target(now, &id(number), Some(changed));
            }
        }
    }

    /// Takes an evacuated domain back, cold.
    fn end(self, now: Duration, routers: &mut [Router], targets: u16) {
        if self != Change::Evacuation {
            return;
        }
        for router in routers {
            router.set_evacuated(&domain(0), false);
            for number in (0..targets).step_by(DOMAINS.into()) {
                let cold = TargetEntry {
                    cold_left: Duration::from_secs(3),
                    ..entry(number)
                };
                router.update_target(now, &id(number), Some(cold));
            }
        }
    }
}

#[derive(Debug)]
struct Seen {
    /// Share of requests sent to a target above twice the mean and three.
    over: f64,
    /// Highest such share in [`WINDOW`].
    worst: f64,
    /// Share of requests at the first target in their subject's order.
    home: f64,
}

fn play(load: &Load, seed: u64) -> Seen {
    let mut rng = StdRng::seed_from_u64(seed);
    let pool = ServiceId::from("pool");
    let mut routers: Vec<Router> = (0..load.instances).map(|n| router(load, n)).collect();
    let mut running: VecDeque<(Duration, usize, Lease)> = VecDeque::new();
    let mut real: BTreeMap<TargetId, u32> = BTreeMap::new();
    let mut mesh = Mesh::new(load, seed);
    let (mut sent, mut home) = (0_u32, 0_u32);
    // Requests of each second, and those sent to a target over the limit.
    let mut seconds = vec![(0_u32, 0_u32); load.seconds as usize];
    for step in 0..load.seconds * 100 {
        let now = STEP * step as u32;
        if step == load.seconds * 33 {
            load.change.begin(now, &mut routers, load.targets);
            if load.change == Change::SilentHub {
                mesh.silence_hub(now);
            }
        }
        if step == load.seconds * 75 {
            load.change.end(now, &mut routers, load.targets);
        }
        running.retain(|(end, instance, lease)| {
            if *end <= now {
                routers[*instance].finish_attempt(now, lease, AttemptOutcome::Completed);
                *real.get_mut(&lease.target).expect("counted") -= 1;
            }
            *end > now
        });
        mesh.run(now, &mut routers);
        let expected = load.rate * STEP.as_secs_f64();
        let count = expected as u32 + u32::from(rng.random_bool(expected.fract()));
        for _ in 0..count {
            let is_hot = rng.random_bool(load.hot);
            let subject = if is_hot {
                0
            } else {
                rng.random_range(0..load.subjects)
            };
            let instance = mesh.entry(rng.random_range(0..load.instances));
            let need = TargetQuery {
                service: &pool,
                prompt_prefix: Some(subject),
                spread_hash: rng.random(),
                tried: &[],
            };
            let pick = routers[instance].choose(now, &need).expect("a target");
            let all: u32 = real.values().sum();
            let mean = f64::from(all) / f64::from(load.targets);
            let held = real.entry(pick.lease.target.clone()).or_insert(0);
            let is_warm = step > load.seconds * 30;
            if is_warm {
                sent += 1;
                let (all, over) = &mut seconds[(step / 100) as usize];
                *all += 1;
                *over += u32::from(f64::from(*held) > 2.0 * mean + 3.0);
                let names = (0..load.targets).map(id).collect::<Vec<_>>();
                let first = rank(subject, names.iter().map(|n| (n.as_str(), 1)))[0];
                home += u32::from(first == pick.lease.target);
            }
            *held += 1;
            let length = load.length * -rng.random_range(0.001_f64..1.0).ln();
            let end = now + Duration::from_secs_f64(length);
            running.push_back((end, instance, pick.lease));
        }
    }
    let share = |seconds: &[(u32, u32)]| {
        let sum = |(all, over), &(a, o)| (all + a, over + o);
        let (all, over) = seconds.iter().fold((0, 0), sum);
        f64::from(over) / f64::from(all.max(1))
    };
    let warm = &seconds[(load.seconds * 3 / 10) as usize..];
    Seen {
        over: share(warm),
        worst: warm.windows(WINDOW).map(share).fold(0.0, f64::max),
        home: f64::from(home) / f64::from(sent),
    }
}

/// Instances that tell each other their loads by pulses.
struct Mesh {
    rng: StdRng,
    fleets: Vec<Fleet>,
    places: BTreeMap<InstanceId, usize>,
    /// Next step of each instance, and whether it tells its domain.
    due: Vec<(Duration, bool)>,
    /// Instance that neither hears nor says anything.
    silent: Option<usize>,
    /// Pulses under way: when each arrives, from whom and at whom.
    sent: Vec<(Duration, usize, usize, Pulse)>,
}

impl Mesh {
    fn new(load: &Load, seed: u64) -> Mesh {
        let mut rng = StdRng::seed_from_u64(seed);
        let all: Vec<Listing> = (0..load.instances as u16).map(listing).collect();
        let fleets = all.iter().map(|me| {
            let mut fleet = Fleet::new(me.clone(), 1);
            fleet.add_listed(Duration::ZERO, all.clone());
            fleet
        });
        let places = all.iter().enumerate().map(|(n, l)| (l.id.clone(), n));
        let start = |rng: &mut StdRng| Duration::from_millis(rng.random_range(0..300));
        Mesh {
            fleets: fleets.collect(),
            places: places.collect(),
            due: all.iter().map(|_| (start(&mut rng), false)).collect(),
            silent: None,
            sent: Vec::new(),
            rng,
        }
    }

    /// Silences the hub of the first failure domain.
    fn silence_hub(&mut self, now: Duration) {
        let mut fleets = self.fleets.iter();
        self.silent = fleets.position(|f| f.me().domain == domain(0) && f.is_hub(now));
        assert!(self.silent.is_some(), "a hub");
    }

    /// Instance that a caller reaches who has picked this one.
    fn entry(&self, place: usize) -> usize {
        match self.silent {
            Some(silent) if silent == place => (place + 1) % self.fleets.len(),
            _ => place,
        }
    }

    fn late(&mut self) -> Duration {
        LATE.mul_f64(self.rng.random_range(0.0..1.0))
    }

    /// Delivers the pulses that have arrived and takes the steps that are due.
    fn run(&mut self, now: Duration, routers: &mut [Router]) {
        let arrived = self.sent.extract_if(.., |(at, ..)| *at <= now);
        for (_, from, to, pulse) in arrived.collect::<Vec<_>>() {
            if self
                .silent
                .is_some_and(|silent| silent == from || silent == to)
            {
                continue;
            }
            let is_total = pulse.scope == PulseScope::All;
            let from = self.fleets[from].me().id.clone();
            self.fleets[to].receive_pulse(now, &from, pulse);
            if is_total {
                self.take_others(now, to, routers);
            }
        }
        for place in 0..self.fleets.len() {
            if self.due[place].0 <= now {
                self.step(now, place, routers);
            }
        }
    }

    fn step(&mut self, now: Duration, place: usize, routers: &mut [Router]) {
        let own = routers[place].own_load(now);
        let (_, tells) = self.due[place];
        let fleet = &mut self.fleets[place];
        let step = if tells {
            Fleet::pulse_domain
        } else {
            Fleet::tick
        };
        let out = step(fleet, now, &own, &[]);
        let exchange = fleet.domain_pulse_delay(now).filter(|_| !tells);
        let wait = exchange.unwrap_or_else(|| fleet.next_tick_delay(now));
        self.due[place] = (now + wait + self.late(), exchange.is_some());
        for pulse in out {
            let to = self.places[&pulse.to];
            let arrives = now + self.late();
            self.sent.push((arrives, place, to, pulse.pulse));
        }
        self.take_others(now, place, routers);
    }

    fn take_others(&self, now: Duration, place: usize, routers: &mut [Router]) {
        let fleet = &self.fleets[place];
        routers[place].set_remote_load(fleet.remote_load_at(now), fleet.remote_load(now));
    }
}

fn listing(number: u16) -> Listing {
    Listing {
        id: format!("i{number:03}").into(),
        domain: domain(number),
        caller: ([10, 0, 0, 2], number).into(),
        peer: ([10, 0, 0, 3], number).into(),
        leaving: false,
        starting: false,
        power: 84,
    }
}

fn id(number: u16) -> TargetId {
    format!("t{number}").into()
}

fn router(load: &Load, position: usize) -> Router {
    let mut router = Router::new(RouterBounds {
        key_age: Duration::from_secs(4),
        retry_ratio: 0.2,
        retry_slack: 100.0,
        cold_excess: 1.5,
        cold_slack: 5.0,
        load_multiple: 2.0,
    });
    let mut catalog = Configuration::default();
    catalog.version = 1;
    let spec = ServiceSpec {
        cold_time: Duration::from_secs(3),
        cold_rate: 18.0,
    };
    catalog.services.insert("pool".into(), spec);
    router.configure(catalog);
    router.set_share(load.instances, position);
    for number in 0..load.targets {
        router.update_target(Duration::ZERO, &id(number), Some(entry(number)));
    }
    router
}

fn domain(number: u16) -> DomainId {
    format!("d{}", number % DOMAINS).into()
}

fn entry(number: u16) -> TargetEntry {
    TargetEntry {
        service: "pool".into(),
        address: ([10, 0, 0, 1], number).into(),
        domain: domain(number),
        slots: 64,
        stage: TargetStage::Ready,
        cold_left: Duration::ZERO,
        started_ms: 1,
    }
}

/// The operators' sizes of today and of the grown fleets.
const FLEETS: [(usize, u16, f64, u64); 3] = [
    (13, 12, 110.0, 320),
    (18, 18, 165.0, 420),
    (114, 60, 570.0, 1_200),
];

/// Load of each fleet, with so much of it about one subject.
fn loads(hot: f64) -> impl Iterator<Item = Load> {
    FLEETS
        .map(|(instances, targets, rate, subjects)| Load {
            instances,
            targets,
            rate,
            length: 0.8,
            subjects,
            hot,
            seconds: 12,
            change: Change::None,
        })
        .into_iter()
}

#[test]
fn loads_that_are_told_late_keep_to_the_bound() {
    for load in [0.0, 0.15, 0.3].into_iter().flat_map(loads) {
        let (instances, hot) = (load.instances, load.hot);
        let seen = play(&load, 7);
        println!("{instances} instances, {hot} hot: {seen:?}");
        // The operators allow 3 in 100.
        assert!(
            seen.over < 0.015,
            "{instances} instances, {hot} hot: {seen:?}"
        );
    }
}

#[test]
fn prompts_go_home_while_no_subject_is_hot() {
    for load in loads(0.0) {
        let instances = load.instances;
        let seen = play(&load, 11);
        assert!(seen.home > 0.8, "{instances} instances: {seen:?}");
    }
}

/// All fleets.
const ALL: std::ops::Range<usize> = 0..3;
/// Fleets of today's size.
const TODAY: std::ops::Range<usize> = 0..2;
/// The grown fleet.
const GROWN: std::ops::Range<usize> = 2..3;

/// Plays a change of the pool at a fleet's size, with and without a subject
/// that has much of the traffic, and holds each five seconds to half of the
/// 3 in 100 that the operators allow.
fn keeps_to_the_whole_mean(change: Change, fleets: std::ops::Range<usize>) {
    let mut broken = Vec::new();
    for hot in [0.0, 0.15, 0.3] {
        let loads = loads(hot).skip(fleets.start).take(fleets.len());
        for load in loads {
            let load = Load {
                seconds: 24,
                change,
                ..load
            };
            let seen = play(&load, 7);
            println!(
                "{change:?}, {} instances, {hot} hot: {seen:?}",
                load.instances
            );
            if seen.worst >= 0.015 {
                broken.push((load.instances, hot, seen));
            }
        }
    }
    assert!(broken.is_empty(), "{change:?}: {broken:#?}");
}

// The tests below guard against engines loaded past the multiple of their
// pool's mean while targets take no requests (incident of 2026-12-04, LIMIT).

// Guards against LIMIT where all targets take requests.
#[test]
fn a_whole_pool_keeps_to_the_multiple_of_its_mean() {
    keeps_to_the_whole_mean(Change::None, ALL);
}

// Guards against LIMIT while a failure domain is out and once it returns cold.
#[test]
fn a_pool_with_a_domain_out_keeps_to_the_multiple_of_its_whole_mean() {
    keeps_to_the_whole_mean(Change::Evacuation, TODAY);
}

// Guards against LIMIT in a grown fleet while a failure domain is out.
#[test]
fn a_grown_pool_with_a_domain_out_keeps_to_the_multiple_of_its_whole_mean() {
    keeps_to_the_whole_mean(Change::Evacuation, GROWN);
}

// Guards against LIMIT while targets drain.
#[test]
fn a_pool_with_draining_targets_keeps_to_the_multiple_of_its_whole_mean() {
    keeps_to_the_whole_mean(Change::Drain, ALL);
}

// Guards against LIMIT while targets are cold and bear little.
#[test]
fn a_pool_with_cold_targets_keeps_to_the_multiple_of_its_whole_mean() {
    keeps_to_the_whole_mean(Change::Cold, ALL);
}

// Guards against LIMIT while the loads of a failure domain are told by nobody,
// until it has another hub.
#[test]
fn a_pool_keeps_to_the_multiple_of_its_mean_after_a_hub_falls_silent() {
    keeps_to_the_whole_mean(Change::SilentHub, ALL);
}

// Guards against LIMIT while nearly half of the pool takes no requests.
#[test]
fn a_pool_half_left_out_keeps_to_the_multiple_of_its_whole_mean() {
    keeps_to_the_whole_mean(Change::EvacuationAndDrain, ALL);
}
