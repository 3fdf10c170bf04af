"""Tests that entries' shares add up to the quota and that no entry is starved."""

from godwitbank._internal.core.quota import Quota


def test_shares_of_entries_add_up_to_the_quota() -> None:
    quotas = [Quota(100, 1, 0.0) for _ in range(3)]
    for number, quota in enumerate(quotas):
        quota.demand = 40.0 * number
    for number, quota in enumerate(quotas):
        for other, peer in enumerate(quotas):
            if other != number:
                quota.update_peer_demand(f"entry-{other}", peer.demand, 0.0)
    assert abs(sum(quota.measure_share(0.0) for quota in quotas) - 1) < 1e-9
    assert quotas[0].measure_share(0.0) > 0


def test_rate_is_limited_over_time() -> None:
    quota = Quota(50, 2, 0.0)
    admitted = sum(quota.take_tokens(1, step * 0.001) == 0 for step in range(10_000))
    assert 500 <= admitted <= 50 * 10 + 50 * 2 + 2


def test_a_job_larger_than_the_bucket_makes_the_balance_negative() -> None:
    quota = Quota(10, 1, 0.0)
    assert quota.take_tokens(460, 0.0) == 0
    wait = quota.take_tokens(1, 0.1)
    assert 44 < wait < 47
    assert quota.take_tokens(1, 0.1 + wait + 0.1) == 0


def test_the_share_of_a_silent_peer_is_redistributed() -> None:
    quota = Quota(100, 1, 0.0)
    quota.update_peer_demand("entry-1", 500.0, 0.0)
    assert quota.measure_share(1.0) < 0.1
    assert quota.measure_share(10.0) == 1.0


def test_no_quota_means_no_limit() -> None:
    quota = Quota(0, 1, 0.0)
    assert all(quota.take_tokens(460, 0.0) == 0 for _ in range(100))
