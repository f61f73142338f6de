"""Short seeded soaks of real daemons.

Each seed that ever failed stays here with a line on its cause.
"""

import pytest

from standins.soak import plan, runner

FAULTS_S = 4.0
# 129: connections whose daemon had gone stayed open at the stand-in and filled
# the server, and waiting statements asked a full server every 30 ms.
SEEDS = (1, 5, 129)


@pytest.mark.parametrize('seed', SEEDS)
async def test_promises_hold_under_faults(tmp_path, seed):
    """Guards against promises that break only when faults overlap."""
    outcome = await runner.Soak(plan.draw(seed, FAULTS_S), tmp_path).run()
    assert outcome.violations == []
    assert outcome.acknowledged > 100
