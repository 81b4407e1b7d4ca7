//! The ledger's totals equal the traffic that was counted, with bounded memory; overruns have the right reasons.

use gullsail_scheduler_api::*;
use gullsail_zone_traffic::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

fn at(ms: i64) -> Instant {
    Instant::from_micros(ms * 1000)
}

fn flow(from: usize, to: usize, volume: u64, placed: bool) -> Flow {
    let reason = if placed {
        Reason::Placed
    } else {
        Reason::Bound
    };
    Flow {
        from: ZoneId(from),
        to: ZoneId(to),
        reason,
        of: Some(FlowOf {
            plan: PlanId(0),
            volume: VolumeId(volume),
            request_class: RequestClassId(0),
        }),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: RngSeed::Fixed(3), ..ProptestConfig::default() })]

    #[test]
    fn ledger_totals_equal_the_counted_frames(frames in proptest::collection::vec((0i64..40_000, 0usize..3, 0usize..3, 0u64..9, any::<bool>(), 0usize..9999), 0..300)) {
        let mut ledger = Ledger::new(Span::from_micros(10_000_000), at(0));
        let mut sums: BTreeMap<(ZoneId, ZoneId), (u64, u64, u64)> = BTreeMap::new();
        let mut now = 0;
        for (later, from, to, volume, placed, bytes) in frames {
            // About one step in eight moves the clock back.
            now += later - 5000;
            ledger.count(at(now), flow(from, to, volume, placed), bytes, placed);
            if from != to {
                let sum = sums.entry((ZoneId(from), ZoneId(to))).or_default();
                *sum = (sum.0 + 1, sum.1 + bytes as u64, sum.2 + if placed { bytes as u64 } else { 0 });
            }
        }
        let mut found: BTreeMap<(ZoneId, ZoneId), (u64, u64, u64)> = BTreeMap::new();
        for (flow, total) in ledger.since(None) {
            let sum = found.entry((flow.from, flow.to)).or_default();
            *sum = (sum.0 + total.frames, sum.1 + total.bytes, sum.2 + total.for_nothing);
        }
        prop_assert_eq!(&found, &sums);
        for ((from, to), sum) in sums {
            prop_assert_eq!(ledger.over_time(from, to).map(|t| t.1).sum::<u64>(), sum.1);
        }
    }
}

#[test]
fn ledger_bounds_its_memory_and_keeps_all_bytes() {
    let mut ledger = Ledger::new(Span::from_micros(10_000_000), at(0));
    // Two days with many volumes exceed the limits on buckets and totals. The last bucket gets more flows than it can
    // hold.
    for second in (0..2 * 86_400).step_by(60) {
        for v in 0..100 {
            ledger.count(
                at(second * 1000),
                flow(0, 1, v + second as u64 % 700, true),
                1,
                false,
            );
        }
    }
    (0..9000).for_each(|v| ledger.count(at(172_800_000), flow(0, 1, v, true), 10, false));
    assert!(ledger.kept() < 21_000, "{}", ledger.kept());
    let bytes: u64 = ledger.since(None).values().map(|t| t.bytes).sum();
    assert_eq!(bytes, (2 * 86_400 / 60) * 100 + 90_000);
    let newest: u64 = ledger
        .since(Some(at(172_800_000)))
        .values()
        .map(|t| t.bytes)
        .sum();
    assert_eq!(newest, 90_000, "the newest bucket alone");
    assert!(
        ledger
            .since(Some(at(172_800_000)))
            .keys()
            .any(|f| f.of.is_none()),
        "flows beyond the limit are counted without their volume"
    );
}

#[test]
fn overruns_have_the_expected_reasons_and_intervals() {
    // bytes each 100 ms by plan, for ten minutes and for the ten seconds after; cause given by the scheduler; recorded
    // reason
    let cases = [
        (
            [100.0, 100.0],
            [100.0, 100.0],
            OverrunCause::DataPlacement,
            OverrunReason::Decided(OverrunCause::DataPlacement),
        ),
        (
            [100.0, 100.0],
            [900.0, 100.0],
            OverrunCause::DataPlacement,
            OverrunReason::Surge(PlanId(0)),
        ),
        (
            [100.0, 100.0],
            [100.0, 900.0],
            OverrunCause::DataPlacement,
            OverrunReason::Surge(PlanId(1)),
        ),
        (
            [100.0, 100.0],
            [900.0, 900.0],
            OverrunCause::DataPlacement,
            OverrunReason::Decided(OverrunCause::DataPlacement),
        ),
        (
            [100.0, 0.0],
            [120.0, 0.0],
            OverrunCause::DataPlacement,
            OverrunReason::Decided(OverrunCause::DataPlacement),
        ),
        (
            [100.0, 100.0],
            [900.0, 100.0],
            OverrunCause::NoLocalNode,
            OverrunReason::Decided(OverrunCause::NoLocalNode),
        ),
        (
            [100.0, 100.0],
            [900.0, 100.0],
            OverrunCause::Retry,
            OverrunReason::Decided(OverrunCause::Retry),
        ),
    ];
    for (usual, recent, cause, known) in cases {
        let mut overruns = Overruns::default();
        for tick in 0..6100 {
            let bytes = if tick < 6000 { usual } else { recent };
            (0..2).for_each(|plan| overruns.crossed(at(tick * 100), PlanId(plan), bytes[plan]));
        }
        overruns.record(at(610_000), VolumeId(9), 50.0, cause);
        overruns.record(at(611_000), VolumeId(9), 30.0, cause);
        overruns.record(at(611_000), VolumeId(8), 30.0, cause);
        overruns.record(
            at(640_000),
            VolumeId(9),
            30.0,
            OverrunCause::LocalNodesSilent,
        );
        let all: Vec<_> = overruns
            .all()
            .map(|b| (b.cross_zone_budget.0, b.known, b.from, b.to, b.bytes))
            .collect();
        let silent = OverrunReason::Decided(OverrunCause::LocalNodesSilent);
        let expected = [
            (9, known, at(610_000), at(611_000), 80.0),
            (8, known, at(611_000), at(611_000), 30.0),
            (9, silent, at(640_000), at(640_000), 30.0),
        ];
        assert_eq!(all, expected, "{usual:?} {recent:?}");
    }
}
