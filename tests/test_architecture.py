"""Each package imports only the packages that docs/architecture.md allows it to import."""

import ast
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent / "badgerbend"
DECISIONS = sorted(path.relative_to(ROOT).as_posix() for path in (ROOT / "decisions").glob("*.py"))
STANDARD_LIBRARY_ONLY = ("__init__.py", "api.py", "platform_settings.py", "benchlink.py", *DECISIONS)
ALLOWED_IMPORTS = {  # for each package or module: the packages of this project that it may import
    "config": {"api"},
    "decisions": {"api"},
    "runtime": {"api", "decisions"},
    "net": set(),
    "discovery": {"api", "config", "net"},
    "graphql": {"api", "config", "net", "runtime"},
    "membership": set(),
    "consensus": set(),
    "leases": {"api", "consensus"},
    "slow_start_budget": {"leases"},
    "wal": {"consensus", "disk"},
    "lease_service": {
        "api",
        "config",
        "consensus",
        "discovery",
        "leases",
        "slow_start_budget",
        "wal",
        "log",
        "metrics",
        "net",
        "runtime",
    },
    "feed": {"consensus", "leases"},
    "feed_service": {"consensus", "leases", "feed", "net", "lease_service"},
    "publication_validation": {"config", "discovery", "feed"},
    "publication_validation/configurations": {"config", "feed"},
    "pools": {"discovery", "net"},
    "generations": {"api", "decisions", "config", "discovery", "graphql", "metrics", "net", "peering", "runtime"},
    "feed_subscription": {"config", "discovery", "feed", "feed_service", "generations", "graphql", "log", "metrics"},
    "knowledge": {"api"},
    "snapshot": {"knowledge"},
    "disk": set(),
    "peering": {
        "api",
        "config",
        "discovery",
        "disk",
        "knowledge",
        "log",
        "membership",
        "net",
        "runtime",
        "snapshot",
    },
    "log": {"config"},
    "remote": set(),
    "sites": {"api", "config"},
    "site_service": {"config", "log", "metrics", "net", "sites"},
    "metrics": {"api", "log", "runtime"},
    "platform_settings": {"api"},
    "frames": {"api", "runtime"},
    "platform": {"api", "decisions", "discovery", "platform_settings", "frames", "net", "runtime"},
}
PURE = (
    *DECISIONS,
    "consensus/durability.py",
    "consensus/election.py",
    "consensus/events.py",
    "consensus/follower.py",
    "consensus/leadership.py",
    "consensus/leadership_transfer.py",
    "consensus/log.py",
    "consensus/membership.py",
    "consensus/messages.py",
    "consensus/persistent_state.py",
    "consensus/progress.py",
    "consensus/quorum.py",
    "consensus/raft.py",
    "consensus/read_index.py",
    "consensus/ready.py",
    "consensus/replica.py",
    "consensus/replication.py",
    "consensus/snapshots.py",
    "consensus/types.py",
    "slow_start_budget/allocator.py",
    "slow_start_budget/broker.py",
    "slow_start_budget/fair_share.py",
    "slow_start_budget/resources.py",
    "slow_start_budget/timing.py",
    "leases/candidates.py",
    "leases/duty_state.py",
    "leases/fencing.py",
    "leases/health_checks.py",
    "leases/holder.py",
    "leases/lease_clock.py",
    "leases/manager.py",
    "leases/messages.py",
    "leases/table.py",
    "leases/timing.py",
    "leases/voter.py",
    "leases/voter_output.py",
    "leases/voter_selection.py",
    "lease_service/wire.py",
    "standin/duty_audit.py",
    "feed/commands.py",
    "feed/configuration.py",
    "feed/control.py",
    "feed/content.py",
    "feed/errors.py",
    "feed/follower.py",
    "feed/follower_types.py",
    "feed/framing.py",
    "feed/log.py",
    "feed/machine.py",
    "feed/messages.py",
    "feed/publisher.py",
    "feed/relay.py",
    "feed/relay_selection.py",
    "feed/relay_summary.py",
    "feed/relay_types.py",
    "feed/replica.py",
    "feed/rollout.py",
    "feed/session.py",
    "feed/signature.py",
    "feed/snapshot.py",
    "feed/snapshot_transfers.py",
    "feed/staleness.py",
    "feed/status_reporting.py",
    "feed/upstream.py",
    "feed_service/control_settings.py",
    "feed_service/control_wire.py",
    "feed_subscription/reader.py",
    "feed_subscription/rejections.py",
    "generations/driver.py",
    "generations/manager.py",
    "publication_validation/changes.py",
    "publication_validation/configurations.py",
    "config/sexpr.py",
    "config/decode.py",
    "config/value_types.py",
    "config/feed.py",
    "config/fleet.py",
    "config/settings.py",
    "config/module.py",
    "config/published.py",
    "discovery/directory.py",
    "discovery/keyed.py",
    "discovery/consul_rows.py",
    "frames/codec.py",
    "platform/names.py",
    "knowledge/policy.py",
    "knowledge/record.py",
    "knowledge/reputation.py",
    "knowledge/trust.py",
    "membership/anti_entropy.py",
    "membership/broadcasts.py",
    "membership/config.py",
    "membership/context.py",
    "membership/failure_detector.py",
    "membership/gossip.py",
    "membership/health.py",
    "membership/members.py",
    "membership/messages.py",
    "membership/output.py",
    "membership/probe_order.py",
    "membership/sender.py",
    "membership/suspicion.py",
    "membership/swim.py",
    "membership/timers.py",
    "runtime/ports.py",
    "graphql/checks.py",
    "graphql/selection.py",
    "remote/codec.py",
    "remote/frames.py",
    "remote/matchers.py",
    "remote/merge.py",
    "remote/placement.py",
    "remote/series.py",
    "remote/xor.py",
    "site_service/operator_key.py",
    "sites/admission.py",
    "sites/availability.py",
    "sites/decaying.py",
    "sites/drain.py",
    "sites/from_settings.py",
    "sites/health.py",
    "sites/inventory.py",
    "sites/own_site_load.py",
    "sites/policy.py",
    "sites/preconnect.py",
    "sites/preference.py",
    "sites/priority_admission.py",
    "sites/rate_limits.py",
    "sites/replica_filter.py",
    "sites/site.py",
    "sites/spill_limit.py",
    "sites/state_tracker.py",
    "sites/status.py",
    "sites/token_bucket.py",
    "standin/audit.py",
    "standin/work.py",
)


def imports(path):
    """Returns the modules that a file imports anywhere in its code."""
    out = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            out |= {a.name for a in node.names}
        elif isinstance(node, ast.ImportFrom):
            out.add(node.module)
            out |= {f"{node.module}.{a.name}" for a in node.names if node.module == "badgerbend"}
    return out


def imported_packages(path):
    """Returns the packages of this project that a file imports from."""
    return {m.split(".")[1] for m in imports(path) if m.startswith("badgerbend.")}


@pytest.mark.parametrize("package", ALLOWED_IMPORTS)
def test_a_package_imports_only_allowed_packages(package):
    files = sorted((ROOT / package).glob("*.py")) or [ROOT / f"{package}.py"]
    for file in files:
        assert imported_packages(file) <= ALLOWED_IMPORTS[package] | {package}, file


def test_the_adapter_and_the_decisions_need_only_the_standard_library():
    for name in STANDARD_LIBRARY_ONLY:
        for module in imports(ROOT / name):
            top = module.split(".")[0]
            assert top in sys.stdlib_module_names or top == "badgerbend", (name, module)
        assert imported_packages(ROOT / name) <= {"api", "decisions", "platform_settings"}


@pytest.mark.parametrize("name", PURE)
def test_pure_modules_import_no_clock_and_no_socket(name):
    found = {m.split(".")[0] for m in imports(ROOT / name)}
    assert not found & {"asyncio", "socket", "time", "os", "threading", "datetime", "uvloop", "subprocess"}


def test_the_platform_loads_only_what_it_uses():
    """Its memory limit leaves no space for GraphQL, peers, Prometheus, the libraries of the command line or uvloop."""
    code = "import sys; old = set(sys.modules); import badgerbend.platform.__main__; print(*set(sys.modules) - old)"
    found = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout.split()
    libraries = {name.split(".")[0] for name in found} - set(sys.stdlib_module_names) - {"badgerbend"}
    assert {n for n in libraries if "cython" not in n} <= {"httptools", "msgspec", "typing_extensions"}
    packages = {name.split(".")[1] for name in found if name.startswith("badgerbend.")}
    assert packages <= {"api", "decisions", "platform_settings", "discovery", "frames", "net", "platform", "runtime"}


def test_only_the_command_line_imports_the_stand_ins():
    for file in ROOT.rglob("*.py"):
        if "standin" not in file.parts and file.name != "cli.py":
            assert "standin" not in imported_packages(file), file


def test_the_architecture_page_lists_exactly_the_existing_packages():
    page = (ROOT.parent / "docs" / "architecture.md").read_text()
    table = page.partition("## Packages and arrows")[2].partition("## Glossary")[0]
    cells = [line.split("|")[1] for line in table.splitlines() if line.startswith("| `")]
    named = {name.strip(" `/").removesuffix(".py") for cell in cells for name in cell.split(",")}
    modules = {path.stem for path in ROOT.glob("[a-z]*.py")}
    packages = {path.parent.name for path in ROOT.glob("*/__init__.py")}
    assert named == modules | packages
