//! Ways of giving routers subsets, by balance, cover and what moves.

use guavawell_core::id::InstanceId;
use guavawell_core::instance::owners;

const SERVERS: usize = 314;
const ROUTERS: usize = 56;
/// Routers a server, where servers choose.
const SHARERS: usize = 4;
/// Servers a router, where routers choose.
const SIZE: usize = SERVERS * SHARERS / ROUTERS;

/// For each router, sorted, the servers that it has.
type SubsetWay = fn(&[usize]) -> Vec<Vec<usize>>;

/// Prints the ways for letter 1's zone.
pub fn compare_ways() {
    println!(
        "way | servers a router least, most | routers a server least, most | moved when one router goes, % | servers without a router until half's loss is known"
    );
    let ways: [(&str, SubsetWay); 3] = [
        ("servers choose", servers_choose),
        ("routers choose", routers_choose),
        ("dealt in rounds", dealt),
    ];
    for (name, way) in ways {
        let all: Vec<_> = (0..ROUTERS).collect();
        let subsets = way(&all);
        let covers = covers(&subsets);
        let sizes: Vec<_> = subsets.iter().map(Vec::len).collect();
        let bare = (0..SERVERS).filter(|server| {
            let left = subsets.iter().skip(ROUTERS / 2);
            !left.into_iter().any(|subset| subset.contains(server))
        });
        println!(
            "{name:<16} | {} {} | {} {} | {} | {}",
            least(&sizes),
            most(&sizes),
            least(&covers),
            most(&covers),
            moved(way, &subsets),
            bare.count(),
        );
    }
}

/// Of what the other routers have, in percent, what changes when one goes.
fn moved(way: SubsetWay, before: &[Vec<usize>]) -> usize {
    let gone = ROUTERS / 3;
    let left: Vec<_> = (0..ROUTERS).filter(|router| *router != gone).collect();
    let after = way(&left);
    let pairs = left.iter().zip(&after);
    let lost = pairs.map(|(router, after)| {
        let old = before[*router].iter();
        old.filter(|server| !after.contains(server)).count()
    });
    let all: usize = before.iter().map(Vec::len).sum();
    lost.sum::<usize>() * 100 / all
}

fn covers(subsets: &[Vec<usize>]) -> Vec<usize> {
    let cover = |server: usize| {
        let with = subsets.iter().filter(|subset| subset.contains(&server));
        with.count()
    };
    (0..SERVERS).map(cover).collect()
}

fn id(kind: &str, number: usize) -> InstanceId {
    format!("{kind}-{number:03}").parse().expect("id")
}

/// The first of `count` ids in the order of a key.
fn first(kind: &str, numbers: &[usize], key: &InstanceId, count: usize) -> Vec<usize> {
    let ids: Vec<_> = numbers.iter().map(|number| id(kind, *number)).collect();
    let ranked = owners(&ids, key.as_str().as_bytes());
    let chosen = ranked.into_iter().take(count);
    let place = |chosen: &InstanceId| ids.iter().position(|id| id == chosen).expect("known");
    chosen.map(|chosen| numbers[place(chosen)]).collect()
}

fn servers_choose(routers: &[usize]) -> Vec<Vec<usize>> {
    let mut subsets = vec![Vec::new(); routers.len()];
    for server in 0..SERVERS {
        for router in first("router", routers, &id("engine", server), SHARERS) {
            let place = routers.binary_search(&router).expect("known");
            subsets[place].push(server);
        }
    }
    subsets
}

fn routers_choose(routers: &[usize]) -> Vec<Vec<usize>> {
    let servers: Vec<_> = (0..SERVERS).collect();
    let choose = |router: &usize| first("engine", &servers, &id("router", *router), SIZE);
    routers.iter().map(choose).collect()
}

/// Servers are shuffled once a round and dealt to the routers by place.
fn dealt(routers: &[usize]) -> Vec<Vec<usize>> {
    let a_round = SERVERS / SIZE;
    let subset = |place: usize| {
        let (round, turn) = (place / a_round, place % a_round);
        let mut servers: Vec<_> = (0..SERVERS).collect();
        fastrand::Rng::with_seed(round as u64).shuffle(&mut servers);
        servers[turn * SIZE..(turn + 1) * SIZE].to_vec()
    };
    (0..routers.len()).map(subset).collect()
}

fn least(counts: &[usize]) -> usize {
    counts.iter().copied().min().unwrap_or(0)
}

fn most(counts: &[usize]) -> usize {
    counts.iter().copied().max().unwrap_or(0)
}
