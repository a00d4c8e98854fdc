"""Operators' commands to a lease service: parsing them from the path of an HTTP request, and executing them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import assert_never

from badgerbend.lease_service.service import LeaseService


@dataclass(frozen=True, slots=True)
class HandOver:
    """Return all leases that this broker holds."""


@dataclass(frozen=True, slots=True)
class AddVoter:
    """Add a broker that has a voter's store to the voters."""

    name: str


@dataclass(frozen=True, slots=True)
class RemoveVoter:
    """Remove a broker from the voters."""

    name: str


Command = HandOver | AddVoter | RemoveVoter


@dataclass(frozen=True, slots=True)
class CommandResult:
    """accepted: whether the command is carried out. message: tells the operator the outcome or the reason."""

    accepted: bool
    message: str


def parse_command(path: str) -> Command | None:
    """Parses `hand-over`, `voters/add/NAME` or `voters/remove/NAME`. Returns None for any other path."""
    match path.split("/"):
        case ["hand-over"]:
            return HandOver()
        case ["voters", "add", name]:
            return AddVoter(name)
        case ["voters", "remove", name]:
            return RemoveVoter(name)
        case _:
            return None


def execute(service: LeaseService, command: Command) -> CommandResult:
    """Executes an operator's command, or returns why it is rejected."""
    match command:
        case HandOver():
            return _hand_over(service)
        case AddVoter(name):
            return _change_voters(service, name, add=True)
        case RemoveVoter(name):
            return _change_voters(service, name, add=False)
        case _:
            assert_never(command)


def _hand_over(service: LeaseService) -> CommandResult:
    if not service.release_leases():
        return CommandResult(accepted=False, message="nothing is held here")
    return CommandResult(accepted=True, message="given back")


def _change_voters(service: LeaseService, name: str, *, add: bool) -> CommandResult:
    if service.local_voter is None or not service.local_voter.is_leader:
        leader = service.holder.leader if service.holder is not None else ""
        return CommandResult(accepted=False, message=f"not the leader; that is {leader}")
    rejection = service.local_voter.change_membership(name, add=add)
    service.send_and_schedule()
    if rejection:
        return CommandResult(accepted=False, message=rejection)
    return CommandResult(accepted=True, message="on the way; see the status")
