"""Root fields as queries to the decision module: their parts, and how the results of the parts become one value.

A query has one part for each block that it names, a block being the data of one shard, with the shard's number. Each
query is a `Sink` of the runtime. It calls `on_done(field, value)` once, unless the client disconnects before; the value
may be an error.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from graphql import GraphQLError, get_named_type

from badgerbend.graphql.checks import MemberChecks
from badgerbend.graphql.documents import IDENTITY, RANK, RootField, Template
from badgerbend.runtime.ports import PartPlan


@dataclass(slots=True, eq=False)
class RequestContext:
    """Data of a client's request that each of its parts carries to the servers.

    trace: the trace id (W3C Trace Context). key: the client's idempotency key. is_retry: whether the client marked the
    request as a retry.
    """

    trace: str
    key: str | None
    is_retry: bool


@dataclass(slots=True, eq=False)
class Fetch:
    """The payload of a part: what to request from a server. `arguments` are shared by all parts of one query."""

    template: Template
    arguments: dict[str, Any]  # by the names a_NAME and v_NAME
    context: RequestContext
    representations: list[dict[str, Any]]
    block: int
    kind: str  # "rows", "entities", "mutation"
    field: str  # key of the root field in the response to the client
    checks: MemberChecks = ()
    member_count: int | None = None  # of a row; None if the checks do not cover a row completely
    positions: tuple[int, ...] = ()  # of entities: their positions in the client's list, or ids of the merged rows


@dataclass(frozen=True, slots=True)
class Completeness:
    """How many parts a result is based on, for the extensions of the response."""

    complete: bool
    parts: int
    total: int

    def as_json(self) -> dict[str, Any]:
        return {"whole": self.complete, "parts": self.parts, "of": self.total}


DoneCallback = Callable[["FieldQuery", object], None]


class FieldQuery:
    """Base of the kinds of root fields."""

    def __init__(self, root: RootField, parts: list[PartPlan], on_done: DoneCallback) -> None:
        self.root, self.parts, self.on_done = root, parts, on_done
        self.query_id: int | None = None
        self.client_has_left: Callable[[], bool] = lambda: False
        self.completeness: Completeness | None = None
        self.retry_after_ms = 0.0

    def follow_up_parts(self, results: Sequence[tuple[PartPlan, object]]) -> Sequence[PartPlan]:
        """The parts of a second step, if there is one."""
        return ()

    def answered(self, results: Sequence[tuple[PartPlan, object]], whole: bool) -> None:
        self.completeness = Completeness(whole, len(results), len(self.parts))
        self.on_done(self, self.merge(results))

    def merge(self, results: Sequence[tuple[PartPlan, object]]) -> object:
        """Merges the results of the parts into the value of the field."""
        raise NotImplementedError

    def rejected(self, retry_after_ms: float) -> None:
        self.retry_after_ms = retry_after_ms
        extensions: dict[str, Any] = {"code": "REFUSED"}
        if retry_after_ms > 0:
            extensions["retryAfterMs"] = round(retry_after_ms)
        self.on_done(self, GraphQLError("refused; it is harmless to ask again", extensions=extensions))

    def failed(self) -> None:
        self.on_done(self, GraphQLError("failed; it may have taken effect", extensions={"code": "FAILED"}))


class RowsField(FieldQuery):
    """Rows of many blocks, in the order of `rank_by` if the settings have it, else in the order of blocks.

    first: the maximum number of rows. second_step: the maximum number of blocks from which the second step fetches
    details; 0 for none.
    """

    def __init__(
        self, root: RootField, parts: list[PartPlan], on_done: DoneCallback, first: int | None, second_step: int
    ) -> None:
        super().__init__(root, parts, on_done)
        self.first, self.second_step = first, second_step
        self.rows: list[dict[str, Any]] = []
        self.first_step_counts = (0, 0)  # parts that were answered, and all parts

    def merge(self, results: Sequence[tuple[PartPlan, object]]) -> object:
        if self.first_step_counts[1]:  # the second step: details go into the rows of the first
            rows_by_id = {id(row): row for row in self.rows}
            for plan, result in results:
                fetch = plan.payload
                assert isinstance(fetch, Fetch)
                assert isinstance(result, list)
                for row_id, found in zip(fetch.positions, result, strict=True):
                    if found is not None and row_id in rows_by_id:
                        rows_by_id[row_id].update({k: found.get(k) for k in self.root.detail_keys})
            assert self.completeness is not None
            self.completeness = Completeness(self.completeness.complete, *self.first_step_counts)
        else:
            self.rows = self._ranked(results)
        if self.root.direct and self.root.field_map and self.root.field_map.rank_by:
            for row in self.rows:
                del row[RANK]
        return self.rows

    def _ranked(self, results: Sequence[tuple[PartPlan, object]]) -> list[dict[str, Any]]:
        ordered = sorted(results, key=lambda r: r[0].payload.block)  # type: ignore[attr-defined]
        rows: list[dict[str, Any]] = []
        for _, result in ordered:
            assert isinstance(result, list)
            rows += result
        assert self.root.field_map is not None
        if self.root.field_map.rank_by:
            rows.sort(key=lambda row: row[RANK])  # stable: ties keep the order of blocks
        return rows if self.first is None else rows[: self.first]

    def follow_up_parts(self, results: Sequence[tuple[PartPlan, object]]) -> Sequence[PartPlan]:
        """The parts for details of the best rows, of at most as many blocks as the second step of the class allows."""
        if self.root.detail is None or not results:
            return ()
        self.rows = self._ranked(results)
        first_fetch = results[0][0].payload
        assert isinstance(first_fetch, Fetch)
        assert self.root.field_map is not None
        shards = {plan.payload.block: plan.shard for plan, _ in results}  # type: ignore[attr-defined]
        rows_by_block: dict[int, list[dict[str, Any]]] = {}
        for row in self.rows:
            block = block_of(row.get(IDENTITY))
            if (
                block is not None
                and block in shards
                and (block in rows_by_block or len(rows_by_block) < self.second_step)
            ):
                rows_by_block.setdefault(block, []).append(row)
        if not rows_by_block:
            return ()
        self.first_step_counts = (len(results), len(self.parts))
        name = get_named_type(self.root.definition.type).name
        return [
            PartPlan(
                shards[block],
                1 / len(rows_by_block),
                None,
                Fetch(
                    self.root.detail,
                    first_fetch.arguments,
                    first_fetch.context,
                    [{"__typename": name, "id": row[IDENTITY]} for row in rows],
                    block,
                    "entities",
                    self.root.key,
                    (),
                    None,
                    tuple(id(row) for row in rows),
                ),
            )
            for block, rows in rows_by_block.items()
        ]


class EntitiesField(FieldQuery):
    """`_entities`: each representation goes to the shard of its block; the results keep the client's order."""

    def __init__(self, root: RootField, parts: list[PartPlan], on_done: DoneCallback, count: int) -> None:
        super().__init__(root, parts, on_done)
        self.count = count

    def merge(self, results: Sequence[tuple[PartPlan, object]]) -> object:
        out: list[object] = [None] * self.count
        for plan, result in results:
            fetch = plan.payload
            assert isinstance(fetch, Fetch)
            assert isinstance(result, list)
            for position, found in zip(fetch.positions, result, strict=True):
                out[position] = found
        return out


class MutationField(FieldQuery):
    """A mutation with one part for each block that it names.

    many: whether its argument is a list of blocks. The value is then the list of the blocks' values, else the value of
    the one block.
    """

    def __init__(self, root: RootField, parts: list[PartPlan], on_done: DoneCallback, many: bool) -> None:
        super().__init__(root, parts, on_done)
        self.many = many

    def merge(self, results: Sequence[tuple[PartPlan, object]]) -> object:
        ordered = sorted(results, key=lambda r: r[0].payload.block)  # type: ignore[attr-defined]
        return [r for _, r in ordered] if self.many else ordered[0][1]


def block_of(key: object) -> int | None:
    """The block with which the key of an entity begins, as 17 in "17:3"; None for a key of another form."""
    head = str(key).split(":", 1)[0]
    return int(head) if head.isascii() and head.isdigit() and len(head) < 10 else None
