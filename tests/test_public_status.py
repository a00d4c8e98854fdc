"""HTTP paths, headers, the JSON of status pages and the metrics stay as they are, read from a running broker."""

import asyncio

import msgspec
import pytest

# Whoever renames a class or an attribute that is reached here edits these lines and `State` below.
from badgerbend.broker import Broker, read_subgraph
from badgerbend.config.fleet import Duties, Peers, Site, Sites, VoterAt
from badgerbend.config.settings import Identity, Tenant
from badgerbend.lease_service.status import LeaseServiceStatus, service_status
from badgerbend.net.client import CallResult
from badgerbend.peering.exchange import FetchError, fetch_record
from badgerbend.sites.admission import Rejection, RejectionReason
from badgerbend.sites.status import sites_status
from badgerbend.standin.fault_proxy import free_port
from badgerbend.wal.store import create_store as create_voter_store
from tests.interfaces import answer_seen, committed, compare, literals, struct_schema
from tests.sockets import EXAMPLE, BrokerFixture, run, until

KEY = "a key of enough letters for everything"
QUERY = "{ rateCompare(blocks: [1, 2, 3, 4], amount: 9000) { id } }"
SITES = Sites(
    (Site("north", (0,), 1, ("south",)), Site("south", (1,), 0), Site("east", (2,), 0)),
    server_parts_per_s=400.0,
    watch=0.0,
    key="key",
)
REPORTS = 20  # queries: a site's use is shown while enough reports of its servers are recent
LONG_COLD_MS = 600_000.0  # a restarted server stays cold while the test runs, so that its allowance is dealt
BY_CHANCE = ("badgerbend_extra_attempts", "badgerbend_troubles")  # a slow machine has retries and faults
BEARER = f"Authorization: Bearer {KEY}"
JSON = "Content-Type: application/json"
BODY = '{"query": "%s"}'

REQUESTS = (
    ("GET", "/ready", (), ""),
    ("GET", "/nothing", (), ""),
    ("GET", "/metrics", (), ""),
    ("GET", "/peers", (), ""),
    ("GET", "/sites", (), ""),
    ("GET", "/sites/north/drain", (BEARER,), ""),
    ("POST", "/sites/north/drain", (), ""),
    ("POST", "/sites/north/drain", (BEARER,), ""),
    ("POST", "/sites/north/return", (BEARER,), ""),
    ("POST", "/sites/north/other", (BEARER,), ""),
    ("POST", "/sites/west/drain", (BEARER,), ""),
    ("GET", "/duties", (), ""),
    ("GET", "/duties/hand-over", (BEARER,), ""),
    ("POST", "/duties/hand-over", (), ""),
    ("POST", "/duties/voters/add/broker-0", (BEARER,), ""),
    ("POST", "/duties/voters/remove/broker-9", (BEARER,), ""),
    ("POST", "/duties/other", (BEARER,), ""),
    ("POST", "/duties/hand-over", (BEARER,), ""),
    ("PUT", "/graphql", ("badgerbend-tenant: acme",), ""),
    ("POST", "/graphql", ("badgerbend-tenant: acme",), BODY % QUERY),
    ("POST", "/graphql", ("badgerbend-tenant: acme", JSON), BODY % QUERY),
    ("POST", "/graphql", ("badgerbend-tenant: acme", JSON), "{}"),
    ("POST", "/graphql", ("badgerbend-tenant: nobody", JSON), BODY % QUERY),
    ("POST", "/graphql", ("badgerbend-tenant: acme", "badgerbend-time-left-ms: soon", JSON), BODY % QUERY),
    ("POST", "/graphql", ("badgerbend-tenant: acme", "Accept: text/html", JSON), BODY % QUERY),
    ("POST", "/graphql", ("badgerbend-tenant: acme", "Accept: application/graphql-response+json", JSON), BODY % QUERY),
    ("POST", "/graphql", ("badgerbend-tenant: acme", JSON), BODY % "{ rateCompare(blocks: [], amount: 1) { id } }"),
)


class State:
    """Where the running broker holds what its status pages show."""

    def __init__(self, broker):
        self.broker = broker

    def members(self):
        return self.broker.knowledge_exchange.socket.swim.members.values()

    def site_availabilities(self):
        return [site.availability for site in self.broker.site_service.preference.sites]

    def raft(self):
        return self.broker.lease_service.local_voter.voter.raft

    def rota_status(self):
        return msgspec.to_builtins(service_status(self.broker.lease_service))

    def peers_status(self):
        return msgspec.to_builtins(self.broker.knowledge_exchange.status())

    def sites_status(self):
        service = self.broker.site_service
        return msgspec.to_builtins(sites_status(service.preference, service.now_ms()))

    def refuse(self, reason):
        """Counts a query as refused for want of a site."""
        rejection = Rejection(RejectionReason(reason), 0, 0)
        self.broker.site_service.preference.admission.rejections[rejection] += 1

    def peers_port(self):
        return self.broker.knowledge_exchange.membership_port

    def knowledge_port(self):
        return self.broker.knowledge_exchange.knowledge_port


class CompleteStage(BrokerFixture):
    """A broker with everything set that has a status page: sites, duties with a vote, peers, tenants."""

    def __init__(self, folder):
        self.folder = folder
        (folder / "key").write_text(KEY)
        key, port = str(folder / "key"), free_port()
        create_voter_store(folder / "voter", "broker-0", ["broker-0"])
        duties = Duties((key,), (VoterAt("broker-0", f"127.0.0.1:{port}"),), port=port, store="voter")
        super().__init__(
            broker=self._broker,
            sites=SITES,
            duties=duties,
            peers=Peers((key,), port=0, knowledge_port=0),
            tenant=(Tenant("acme", 1000.0),),
            servers={"cold_ms": LONG_COLD_MS},
        )

    def _broker(self, settings, graph):
        return Broker(settings, graph, self.folder)

    async def __aenter__(self):
        await super().__aenter__()
        self.state = State(self.broker)
        await self._start_peer()
        await self.world.restart(next(iter(self.world.servers)))
        await self.query()
        await until(self._settled)
        return self

    async def __aexit__(self, *error):
        await self.peer.stop()
        await super().__aexit__(*error)

    async def _start_peer(self):
        """Another broker, so that the one looked at has a member to show."""
        peers = Peers((str(self.folder / "key"),), (f"127.0.0.1:{self.state.peers_port()}",), port=0, knowledge_port=0)
        settings = msgspec.structs.replace(
            self.settings, peers=peers, identity=Identity(1, 2), sites=None, duties=None, tenant=()
        )
        self.peer = Broker(settings, read_subgraph(settings, EXAMPLE), self.folder)
        await self.peer.start()

    def _settled(self):
        if not self.state.members():
            return False
        status = self.state.rota_status()
        holds = bool(status["duties"]) and all(duty["may_act"] for duty in status["duties"])
        return holds and status["vote"]["leases"] and status["dealing"]["cold"] and status["dealing"]["dealt"]

    async def query(self):
        return await self.client.query(QUERY, **{"badgerbend-tenant": "acme"})

    async def reply(self, method, path, headers=(), body=""):
        lines = "".join(f"{line}\r\n" for line in (*headers, f"Content-Length: {len(body)}"))
        done = asyncio.get_running_loop().create_future()
        request = f"{method} {path} HTTP/1.1\r\nHost: x\r\n{lines}\r\n{body}".encode()
        self.client.pool.request(request, lambda reply: None if done.done() else done.set_result(reply))
        reply = await done
        assert reply.result is CallResult.ANSWER
        return reply


@pytest.fixture(scope="module")
def seen(tmp_path_factory):
    """What one running broker shows."""

    async def main():
        shown = {}
        async with CompleteStage(tmp_path_factory.mktemp("broker")) as stage:
            state = stage.state
            for reason in committed("words")["refusals for want of a site"]:
                state.refuse(reason)
            await asyncio.gather(*(stage.query() for _ in range(REPORTS)))
            shown["metrics"] = (await stage.reply("GET", "/metrics")).body.decode()
            shown["metric objects"] = stage.broker.metrics.registry
            shown["words"] = state_words(state)
            shown["duties"] = [duty["duty"] for duty in state.rota_status()["duties"]]
            shown["knowledge"] = await knowledge(state.knowledge_port())
            replies = []
            for method, path, headers, body in REQUESTS:
                reply = await stage.reply(method, path, headers, body)
                request = "KEY".join(" ".join((method, path, *headers, body)).split(KEY)).strip()
                replies.append({"request": request, **answer_seen(reply)})
            shown["http"] = replies
        return shown

    return run(main)


def state_words(state):
    """Every word that status pages have for a state, by putting the running objects into each."""
    words = {}
    raft = state.raft()
    role = raft.role
    words["voter's role"] = []
    for raft.role in type(role):
        words["voter's role"].append(state.rota_status()["vote"]["role"])
    raft.role = role
    member = next(iter(state.members()))
    member_state = member.state
    words["member's state"] = []
    for member.state in type(member_state):
        words["member's state"].append(state.peers_status()["members"][0]["state"])
    member.state = member_state
    availability = state.site_availabilities()[0]
    site_state = availability.state
    words["site's state"] = []
    for availability.state in type(site_state):
        words["site's state"].append(state.sites_status()["sites"][0]["state"])
    availability.state = site_state
    words["site's tier"] = [site["tier"] for site in state.sites_status()["sites"]]
    return words


async def knowledge(port):
    """What a peer reads of the broker's knowledge: the names in it."""
    done = asyncio.get_running_loop().create_future()
    fetch_record(KEY.encode(), "127.0.0.1", port, done.set_result)
    record = await done
    assert not isinstance(record, FetchError), record
    return list(msgspec.to_builtins(record))


def test_http_paths_methods_headers_and_json_of_the_broker(seen):
    compare("http", seen["http"])


def test_words_for_states_in_status_pages(seen):
    compare("status_words", seen["words"] | {"duties": seen["duties"]})


def test_json_of_duties_by_its_types():
    compare("status_duties", struct_schema(LeaseServiceStatus))


def test_knowledge_is_read_by_peers_under_the_same_names(seen):
    compare("knowledge", seen["knowledge"])


def test_metric_names_types_and_labels(seen):
    described = {}
    for line in seen["metrics"].splitlines():
        if line.startswith("# TYPE "):
            _, _, name, kind = line.split()
            if not name.endswith("_created"):  # shown only once there is a sample, and some come by chance
                described[name] = {"type": kind, "labels": None}
    collectors = seen["metric objects"]._collector_to_names
    for collector in collectors:
        for family in collector.describe():
            name = next(n for n in (family.name, f"{family.name}_total") if n in described)
            described[name]["labels"] = list(collector._labelnames)
    compare("metrics", dict(sorted(described.items())))


def test_constant_words_in_the_labels_of_metrics(seen):
    samples = {line.rpartition(" ")[0] for line in seen["metrics"].splitlines() if not line.startswith("#")}
    compare("metric_samples", sorted(sample for sample in samples if not sample.startswith(BY_CHANCE)))


def test_words_that_operators_and_clients_match_on_still_stand_in_the_code():
    found = literals()
    missing = {group: [word for word in words if word not in found] for group, words in committed("words").items()}
    assert not any(missing.values()), missing
