"""A short seeded soak of controller processes; `make soak` plays the long one."""

import pytest
from soak import play

pytestmark = pytest.mark.sockets


# Every third seed has a crowd.
@pytest.mark.parametrize("seed", [101, 102, 103, 105])
def test_a_soak_breaks_no_rule(seed):
    broken, summary = play(seed)
    print(f"seed {seed}: {summary}")
    assert not broken
