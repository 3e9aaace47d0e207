"""The decisions on generated days equal the recorded ones, action by action.

`python tests/test_equal.py` rewrites the record. Do that only for intended changes of decisions that have been scored.
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
    recorded, played = json.loads(RECORD.read_text())[name], play(name)
    assert played.actions > 500
    first_difference = next(
        (n for n, (old, new) in enumerate(zip(recorded["marks"], played.marks, strict=False)) if old != new), None
    )
    assert first_difference is None, (
        f"the first difference is in batches {first_difference * 200} to {first_difference * 200 + 200}"
    )
    assert (played.batches, played.digest.hexdigest()) == (recorded["batches"], recorded["digest"])


if __name__ == "__main__":
    RECORD.write_text(
        json.dumps(
            {
                name: {"batches": played.batches, "digest": played.digest.hexdigest(), "marks": played.marks}
                for name in DAYS
                for played in [play(name)]
            },
            indent=0,
        )
        + "\n"
    )
