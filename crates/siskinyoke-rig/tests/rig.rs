//! The rig measures what it says: the same each time, within capacity, and with every promise.

use std::collections::BTreeMap;

use siskinyoke_base::EndpointId;
use siskinyoke_base::ModelId;
use siskinyoke_base::message::LeaseDemand;
use siskinyoke_base::message::Resource;
use siskinyoke_rig::allocator::allocate;
use siskinyoke_rig::bound::reachable;
use siskinyoke_rig::figures::Figures;
use siskinyoke_rig::load::Load;
use siskinyoke_rig::rival::Rival;
use siskinyoke_rig::run::play;
use siskinyoke_rig::site::Site;

fn load(name: &str) -> Load {
    let mut loads = Load::all().into_iter();
    loads
        .find(|load| load.name == name)
        .expect("the load exists")
}

fn measure(site: &Site, name: &str, rival: Rival) -> Figures {
    let load = load(name);
    Figures::of(site, &load, rival, &play(site, &load, rival))
}

#[test]
fn two_runs_give_the_same_figures() {
    let site = Site::muscat();
    let texts = [0, 1].map(|_| {
        let figures = measure(&site, "burst", Rival::Adaptive);
        serde_json::to_string(&figures).expect("figures can be written")
    });
    assert_eq!(texts[0], texts[1]);
}

#[test]
fn product_keeps_its_promises_with_everything_at_once() {
    // A burst, a hot organisation, a slow and a frozen endpoint, a switch of the preset and half
    // of the daemons replaced. A booking that ran twice or marking that was shed while lower work
    // was served would show here, whatever the goodput.
    for site in [Site::muscat(), Site::cairo()] {
        let figures = measure(&site, "together", Rival::Adaptive);
        assert_eq!(
            figures.doubled, 0,
            "{}: work was dispatched twice",
            site.name
        );
        assert_eq!(
            figures.unjust, 0,
            "{}: protected work was shed before lower",
            site.name
        );
    }
}

#[test]
fn product_leads_at_three_times_capacity() {
    let site = Site::muscat();
    let product = measure(&site, "at-3", Rival::Adaptive).tiers[0].goodput;
    for rival in [Rival::RoundRobin, Rival::TwoChoices, Rival::OneOwner] {
        let other = measure(&site, "at-3", rival).tiers[0].goodput;
        assert!(
            product > other,
            "{}: {other} against {product}",
            rival.name()
        );
    }
}

#[test]
fn bound_follows_capacity() {
    let site = Site::muscat();
    let model = ModelId::new("model");
    let reach = |name| {
        let load = load(name);
        reachable(&site, &load, &load.requests(&site), &model)
    };
    assert!(reach("at-0.8").iter().all(|part| *part >= 1.0));
    let over = reach("at-3");
    assert!(
        over[0] < 1.0 && over[1] < 0.5,
        "three times capacity cannot all be reached"
    );
}

#[test]
fn leases_go_to_the_highest_tier_and_stay_within_the_resource() {
    let resource = Resource::Endpoint(EndpointId::new("a"));
    let line = |wanted: &[u32], held| LeaseDemand {
        resource: resource.clone(),
        wanted: wanted.to_vec(),
        held,
    };
    let units = BTreeMap::from([(resource.clone(), 10)]);
    let reports = [
        vec![line(&[6, 0, 10], 0)],
        vec![line(&[0, 9, 10], 3)],
        vec![line(&[0, 0, 10], 0)],
    ];
    let grants = allocate(&units, &reports);
    let shares: Vec<u32> = grants.iter().map(|grant| grant[0].1).collect();
    assert_eq!(shares, [6, 4, 0]);
    let shrunk = [vec![line(&[10, 0, 10], 0)], vec![line(&[0, 9, 10], 8)]];
    let grants = allocate(&units, &shrunk);
    assert_eq!(grants[0][0].1, 2, "what another holds is not granted twice");
}
