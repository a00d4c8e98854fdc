"""What a connection needs from its server."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from badgerbend.net.exchange import Handler
from badgerbend.net.http_connection import AnswerBy
from badgerbend.net.memory_budget import MemoryBudget
from badgerbend.net.server_limits import ServerLimits
from badgerbend.net.turn_queue import TurnQueue

if TYPE_CHECKING:
    from badgerbend.net.server_connection import ServerConnection


class Server(Protocol):
    """The server of a connection.

    answer_by: when the client of a request stops waiting. awake_at: what is read now was received after this time.
    memory: bounds what all connections hold. turns: decides when connections take their turns. closing: the server
    shuts down. lingering: the number of connections in a lingering close.
    """

    handler: Handler
    answer_by: AnswerBy
    limits: ServerLimits
    memory: MemoryBudget
    turns: TurnQueue
    closing: bool
    lingering: int

    @property
    def awake_at(self) -> float: ...

    def admit(self, connection: ServerConnection) -> bool:
        """Adds a connection, or returns False if there are too many."""

    def remove(self, connection: ServerConnection) -> None:
        """Removes a connection that has been lost."""

    def exceeds_keep_alive_limit(self) -> bool:
        """Whether there are too many connections to keep them alive after a response."""
