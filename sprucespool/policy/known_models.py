"""The models with a belief, at most so many: clients name models, and each one named takes memory."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice

from sprucespool.policy.beliefs import ModelBelief

# Models that are looked at for some to forget; if all of them are at work, the limit is exceeded for now.
MAX_LOOKED_AT = 32


class KnownModels:
    """Models by when they were last requested.

    Beyond `max_models` those that were requested at most once are forgotten first, and of them the longest unused: a
    client that names ever new models does not displace those in use.
    """

    def __init__(self, max_models: int):
        self.max_models = max_models
        # Both from the longest unused: those requested at most once, and the others.
        self._rare: dict[ModelBelief, None] = {}
        self._repeated: dict[ModelBelief, None] = {}

    def __len__(self) -> int:
        return len(self._rare) + len(self._repeated)

    def __contains__(self, model: ModelBelief) -> bool:
        return model in self._rare or model in self._repeated

    def __iter__(self) -> Iterator[ModelBelief]:
        """In the order in which the models became known."""
        return iter(sorted([*self._rare, *self._repeated], key=lambda model: model.number))

    def add(self, model: ModelBelief) -> None:
        self._rare[model] = None

    def requested(self, model: ModelBelief) -> None:
        """Notes a request; to be called before the model counts it."""
        if model.request_count:
            self.remove(model)
            self._repeated[model] = None

    def remove(self, model: ModelBelief) -> None:
        self._rare.pop(model, None)
        self._repeated.pop(model, None)

    def displaced(self) -> list[ModelBelief]:
        """The models to forget so that there is room for one more; those at work stay."""
        excess = len(self) + 1 - self.max_models
        found: list[ModelBelief] = []
        for models in (self._rare, self._repeated):
            if len(found) < excess:
                unused = (model for model in islice(models, MAX_LOOKED_AT) if not model.at_work)
                found += islice(unused, excess - len(found))
        return found
