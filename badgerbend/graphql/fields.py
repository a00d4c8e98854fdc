"""Root fields as queries to the module: which parts, and how their answers become one value.

Each is a `Sink` of the runtime. It ends exactly once, by `done(field, value)`, where the value may be an error.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from graphql import GraphQLError, get_named_type

from badgerbend.graphql.checks import Keys
from badgerbend.graphql.documents import IDENTITY, RANK, RootField, Template
from badgerbend.runtime.ports import PartPlan


@dataclass(slots=True, eq=False)
class Asked:
    """What of a client's request goes with each of its parts to the servers."""

    trace: str
    key: str | None
    is_retry: bool


@dataclass(slots=True, eq=False)
class Fetch:
    """A part's payload: what to ask a server for. `arguments` are shared by all parts of one query."""

    template: Template
    arguments: dict[str, Any]  # a_name, v_name
    asked: Asked
    representations: list[dict[str, Any]]
    block: int
    kind: str  # "rows", "entities", "mutation"
    field: str  # the root field's name in the client's answer
    checks: Keys = ()
    size: int | None = None  # so many members a row has, where the checks cover all of it
    places: tuple[int, ...] = ()  # entities: where each stands in the client's list


@dataclass(frozen=True, slots=True)
class Mark:
    """What an answer rests on, told in the response's extensions."""

    whole: bool
    parts: int
    of: int

    def as_json(self) -> dict[str, Any]:
        return {"whole": self.whole, "parts": self.parts, "of": self.of}


Done = Callable[["FieldQuery", object], None]


class FieldQuery:
    """What all kinds of root fields have in common."""

    def __init__(self, root: RootField, parts: list[PartPlan], done: Done) -> None:
        self.root, self.parts, self.done = root, parts, done
        self.query_id: int | None = None
        self.client_has_left: Callable[[], bool] = lambda: False
        self.mark: Mark | None = None
        self.advice_ms = 0.0

    def follow_up_parts(self, results: Sequence[tuple[PartPlan, object]]) -> Sequence[PartPlan]:
        return ()

    def answered(self, results: Sequence[tuple[PartPlan, object]], whole: bool) -> None:
        self.mark = Mark(whole, len(results), len(self.parts))
        self.done(self, self.merge(results))

    def merge(self, results: Sequence[tuple[PartPlan, object]]) -> object:
        raise NotImplementedError

    def rejected(self, retry_after_ms: float) -> None:
        self.advice_ms = retry_after_ms
        extensions: dict[str, Any] = {"code": "REFUSED"}
        if retry_after_ms > 0:
            extensions["retryAfterMs"] = round(retry_after_ms)
        self.done(self, GraphQLError("refused; it is harmless to ask again", extensions=extensions))

    def failed(self) -> None:
        self.done(self, GraphQLError("failed; it may have taken effect", extensions={"code": "FAILED"}))


class RowsField(FieldQuery):
    """Rows of many blocks: ranked where the settings say so, else in the order of blocks; cut to `first`."""

    def __init__(self, root: RootField, parts: list[PartPlan], done: Done, first: int | None, second_step: int) -> None:
        super().__init__(root, parts, done)
        self.first, self.second_step = first, second_step
        self.rows: list[dict[str, Any]] = []
        self.counted = (0, 0)

    def merge(self, results: Sequence[tuple[PartPlan, object]]) -> object:
        if self.counted[1]:  # a second step: details go into the rows that were merged before
            by_place = {id(row): row for row in self.rows}
            for plan, result in results:
                fetch = plan.payload
                assert isinstance(fetch, Fetch)
                assert isinstance(result, list)
                for place, found in zip(fetch.places, result, strict=True):
                    if found is not None and place in by_place:
                        by_place[place].update({k: found.get(k) for k in self.root.detail_keys})
            assert self.mark is not None
            self.mark = Mark(self.mark.whole, *self.counted)
        else:
            self.rows = self._ranked(results)
        if self.root.direct and self.root.mapped and self.root.mapped.rank_by:
            for row in self.rows:
                del row[RANK]
        return self.rows

    def _ranked(self, results: Sequence[tuple[PartPlan, object]]) -> list[dict[str, Any]]:
        ordered = sorted(results, key=lambda r: r[0].payload.block)  # type: ignore[attr-defined]
        rows: list[dict[str, Any]] = []
        for _, result in ordered:
            assert isinstance(result, list)
            rows += result
        assert self.root.mapped is not None
        if self.root.mapped.rank_by:
            rows.sort(key=lambda row: row[RANK])  # stable: ties stay in the order of blocks
        return rows if self.first is None else rows[: self.first]

    def follow_up_parts(self, results: Sequence[tuple[PartPlan, object]]) -> Sequence[PartPlan]:
        """Details of the best rows, from so many blocks that answered as the class's second step has parts."""
        if self.root.detail is None or not results:
            return ()
        self.rows = self._ranked(results)
        asked = results[0][0].payload
        assert isinstance(asked, Fetch)
        assert self.root.mapped is not None
        shards = {plan.payload.block: plan.shard for plan, _ in results}  # type: ignore[attr-defined]
        chosen: dict[int, list[dict[str, Any]]] = {}
        for row in self.rows:
            block = block_of(row.get(IDENTITY))
            if block is not None and block in shards and (block in chosen or len(chosen) < self.second_step):
                chosen.setdefault(block, []).append(row)
        if not chosen:
            return ()
        self.counted = (len(results), len(self.parts))
        name = get_named_type(self.root.definition.type).name
        return [
            PartPlan(
                shards[block],
                1 / len(chosen),
                None,
                Fetch(
                    self.root.detail,
                    asked.arguments,
                    asked.asked,
                    [{"__typename": name, "id": row[IDENTITY]} for row in rows],
                    block,
                    "entities",
                    self.root.key,
                    (),
                    None,
                    tuple(id(row) for row in rows),
                ),
            )
            for block, rows in chosen.items()
        ]


class EntitiesField(FieldQuery):
    """`_entities`: each representation goes to its block's shard, answers go back to their places."""

    def __init__(self, root: RootField, parts: list[PartPlan], done: Done, count: int) -> None:
        super().__init__(root, parts, done)
        self.count = count

    def merge(self, results: Sequence[tuple[PartPlan, object]]) -> object:
        out: list[object] = [None] * self.count
        for plan, result in results:
            fetch = plan.payload
            assert isinstance(fetch, Fetch)
            assert isinstance(result, list)
            for place, found in zip(fetch.places, result, strict=True):
                out[place] = found
        return out


class MutationField(FieldQuery):
    """A mutation: one part for each block that it names; the value is the one block's, or a list of all."""

    def __init__(self, root: RootField, parts: list[PartPlan], done: Done, many: bool) -> None:
        super().__init__(root, parts, done)
        self.many = many

    def merge(self, results: Sequence[tuple[PartPlan, object]]) -> object:
        ordered = sorted(results, key=lambda r: r[0].payload.block)  # type: ignore[attr-defined]
        return [r for _, r in ordered] if self.many else ordered[0][1]


def block_of(key: object) -> int | None:
    """The block that an entity's key begins with, as "17:3"; None for a key of another form."""
    head = str(key).split(":", 1)[0]
    return int(head) if head.isascii() and head.isdigit() and len(head) < 10 else None
