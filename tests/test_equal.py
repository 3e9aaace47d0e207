"""The decisions on generated days are those of the recorded module, action by action.

`python tests/test_equal.py` writes the record anew; to be done only where decisions are meant to change, and scored.
"""

import json
import sys
from pathlib import Path

import pytest

if __name__ == "__main__":
    sys.path[:0] = [str(Path(__file__).parent), str(Path(__file__).parent.parent)]

from equal import DAYS, play

RECORD = Path(__file__).with_name("equal.json")


@pytest.mark.parametrize("name", DAYS)
def test_decisions_are_those_recorded(name):
    recorded, found = json.loads(RECORD.read_text())[name], play(name)
    assert found.actions > 500
    differ = next(
        (n for n, (old, new) in enumerate(zip(recorded["marks"], found.marks, strict=False)) if old != new), None
    )
    assert differ is None, f"the first difference lies in batches {differ * 200} to {differ * 200 + 200}"
    assert (found.batches, found.digest.hexdigest()) == (recorded["batches"], recorded["digest"])


if __name__ == "__main__":
    RECORD.write_text(
        json.dumps(
            {
                name: {"batches": one.batches, "digest": one.digest.hexdigest(), "marks": one.marks}
                for name in DAYS
                for one in [play(name)]
            },
            indent=0,
        )
        + "\n"
    )
