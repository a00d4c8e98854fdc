"""Guards the HTTP paths, headers, the JSON of status pages and the metrics of a running broker against changes."""

import asyncio

import msgspec
import pytest

# A rename of a class or an attribute that is used here changes these imports and `State` below.
from badgerbend.broker import Broker, read_subgraph
from badgerbend.config.fleet import Duties, Peers, Site, Sites, VoterEndpoint
from badgerbend.config.settings import Identity, Tenant
from badgerbend.lease_service.status import LeaseServiceStatus, service_status
from badgerbend.net.calls import CallResult
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
LOAD_REPORT_QUERIES = 20  # a site's utilization is shown only while enough load reports of its servers are recent
LONG_SLOW_START_MS = (
    600_000.0  # a restarted server stays in slow start during the test, so that a budget for it is granted
)
TIMING_DEPENDENT_METRICS = (
    "badgerbend_extra_attempts",
    "badgerbend_troubles",
)  # a slow machine causes retries and faults
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
    """Access to the objects of the running broker whose state is shown in its status pages."""

    def __init__(self, broker):
        self.broker = broker

    def members(self):
        return self.broker.knowledge_exchange.socket.swim.members.values()

    def site_availabilities(self):
        return [site.availability for site in self.broker.site_service.preference.sites]

    def raft(self):
        return self.broker.lease_service.local_voter.voter.raft

    def lease_service_status(self):
        return msgspec.to_builtins(service_status(self.broker.lease_service))

    def peers_status(self):
        return msgspec.to_builtins(self.broker.knowledge_exchange.status())

    def sites_status(self):
        service = self.broker.site_service
        return msgspec.to_builtins(sites_status(service.preference, service.now_ms()))

    def count_rejection(self, reason):
        """Counts a query as rejected because no site could take it."""
        rejection = Rejection(RejectionReason(reason), 0, 0)
        self.broker.site_service.preference.admission.rejections[rejection] += 1

    def peers_port(self):
        return self.broker.knowledge_exchange.membership_port

    def knowledge_port(self):
        return self.broker.knowledge_exchange.knowledge_port


class FullyConfiguredBroker(BrokerFixture):
    """A broker that has all status pages: it is configured with sites, duties and a voter, peers, and tenants."""

    def __init__(self, folder):
        self.folder = folder
        (folder / "key").write_text(KEY)
        key, port = str(folder / "key"), free_port()
        create_voter_store(folder / "voter", "broker-0", ["broker-0"])
        duties = Duties((key,), (VoterEndpoint("broker-0", f"127.0.0.1:{port}"),), port=port, store="voter")
        super().__init__(
            broker=self._broker,
            sites=SITES,
            duties=duties,
            peers=Peers((key,), port=0, knowledge_port=0),
            tenant=(Tenant("acme", 1000.0),),
            servers={"cold_ms": LONG_SLOW_START_MS},
        )

    def _broker(self, settings, graph):
        return Broker(settings, graph, self.folder)

    async def __aenter__(self):
        await super().__aenter__()
        self.state = State(self.broker)
        await self._start_peer()
        await self.world.restart(next(iter(self.world.servers)))
        await self.query()
        await until(self._is_settled)
        return self

    async def __aexit__(self, *error):
        await self.peer.stop()
        await super().__aexit__(*error)

    async def _start_peer(self):
        """Starts another broker, so that the broker under test has a member to show."""
        peers = Peers((str(self.folder / "key"),), (f"127.0.0.1:{self.state.peers_port()}",), port=0, knowledge_port=0)
        settings = msgspec.structs.replace(
            self.settings, peers=peers, identity=Identity(1, 2), sites=None, duties=None, tenant=()
        )
        self.peer = Broker(settings, read_subgraph(settings, EXAMPLE), self.folder)
        await self.peer.start()

    def _is_settled(self):
        if not self.state.members():
            return False
        status = self.state.lease_service_status()
        holds_duties = bool(status["duties"]) and all(duty["may_act"] for duty in status["duties"])
        return holds_duties and status["vote"]["leases"] and status["dealing"]["cold"] and status["dealing"]["dealt"]

    async def query(self):
        return await self.client.query(QUERY, **{"badgerbend-tenant": "acme"})

    async def reply(self, method, path, headers=(), body=""):
        lines = "".join(f"{line}\r\n" for line in (*headers, f"Content-Length: {len(body)}"))
        response = asyncio.get_running_loop().create_future()
        request = f"{method} {path} HTTP/1.1\r\nHost: x\r\n{lines}\r\n{body}".encode()
        self.client.pool.request(request, lambda reply: None if response.done() else response.set_result(reply))
        reply = await response
        assert reply.result is CallResult.ANSWER
        return reply


@pytest.fixture(scope="module")
def observed(tmp_path_factory):
    """The status pages, metrics and answers of one running broker."""

    async def main():
        observations = {}
        async with FullyConfiguredBroker(tmp_path_factory.mktemp("broker")) as running:
            state = running.state
            for reason in committed("words")["refusals for want of a site"]:
                state.count_rejection(reason)
            await asyncio.gather(*(running.query() for _ in range(LOAD_REPORT_QUERIES)))
            observations["metrics"] = (await running.reply("GET", "/metrics")).body.decode()
            observations["metric objects"] = running.broker.metrics.registry
            observations["words"] = collect_state_names(state)
            observations["duties"] = [duty["duty"] for duty in state.lease_service_status()["duties"]]
            observations["knowledge"] = await knowledge(state.knowledge_port())
            replies = []
            for method, path, headers, body in REQUESTS:
                reply = await running.reply(method, path, headers, body)
                request = "KEY".join(" ".join((method, path, *headers, body)).split(KEY)).strip()
                replies.append({"request": request, **answer_seen(reply)})
            observations["http"] = replies
        return observations

    return run(main)


def collect_state_names(state):
    """All names of states in status pages, collected by putting the running objects into each state."""
    state_names = {}
    raft = state.raft()
    role = raft.role
    state_names["voter's role"] = []
    for raft.role in type(role):
        state_names["voter's role"].append(state.lease_service_status()["vote"]["role"])
    raft.role = role
    member = next(iter(state.members()))
    member_state = member.state
    state_names["member's state"] = []
    for member.state in type(member_state):
        state_names["member's state"].append(state.peers_status()["members"][0]["state"])
    member.state = member_state
    availability = state.site_availabilities()[0]
    site_state = availability.state
    state_names["site's state"] = []
    for availability.state in type(site_state):
        state_names["site's state"].append(state.sites_status()["sites"][0]["state"])
    availability.state = site_state
    state_names["site's tier"] = [site["tier"] for site in state.sites_status()["sites"]]
    return state_names


async def knowledge(port):
    """The names of the fields in the knowledge record that a peer fetches from the broker."""
    response = asyncio.get_running_loop().create_future()
    fetch_record(KEY.encode(), "127.0.0.1", port, response.set_result)
    record = await response
    assert not isinstance(record, FetchError), record
    return list(msgspec.to_builtins(record))


def test_http_paths_methods_headers_and_json_of_the_broker(observed):
    compare("http", observed["http"])


def test_words_for_states_in_status_pages(observed):
    compare("status_words", observed["words"] | {"duties": observed["duties"]})


def test_json_of_duties_by_its_types():
    compare("status_duties", struct_schema(LeaseServiceStatus))


def test_knowledge_is_read_by_peers_under_the_same_names(observed):
    compare("knowledge", observed["knowledge"])


def test_metric_names_types_and_labels(observed):
    metric_families = {}
    for line in observed["metrics"].splitlines():
        if line.startswith("# TYPE "):
            _, _, name, kind = line.split()
            if not name.endswith(
                "_created"
            ):  # shown only once there is a sample, which for some metrics depends on timing
                metric_families[name] = {"type": kind, "labels": None}
    collectors = observed["metric objects"]._collector_to_names
    for collector in collectors:
        for family in collector.describe():
            name = next(n for n in (family.name, f"{family.name}_total") if n in metric_families)
            metric_families[name]["labels"] = list(collector._labelnames)
    compare("metrics", dict(sorted(metric_families.items())))


def test_constant_words_in_the_labels_of_metrics(observed):
    samples = {line.rpartition(" ")[0] for line in observed["metrics"].splitlines() if not line.startswith("#")}
    compare("metric_samples", sorted(sample for sample in samples if not sample.startswith(TIMING_DEPENDENT_METRICS)))


def test_words_that_operators_and_clients_match_are_still_in_the_code():
    found = literals()
    missing = {group: [word for word in words if word not in found] for group, words in committed("words").items()}
    assert not any(missing.values()), missing
