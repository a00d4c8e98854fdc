"""Which settings a published configuration can change in a running broker, and which stay as in its local file."""

import msgspec
import pytest

from badgerbend.config import reading, sexpr
from badgerbend.config.fleet import Duties, Site, Sites, VoterEndpoint
from badgerbend.config.published import settings_in_force
from badgerbend.config.settings import Attempts, Identity, Listen, Servers, Tenant
from tests.replacing import replaced
from tests.test_settings import GOOD

PARSED = reading.parse(GOOD, "local")
LOCAL = msgspec.structs.replace(
    PARSED, listen=Listen(port=9), identity=Identity(3, 8, 1), servers=Servers(idle_ms=77.0, cold_ms=55.0), seed=5
)


def with_forms(*forms):
    return GOOD.rstrip().removesuffix(")") + "\n  " + "\n  ".join(forms) + ")\n"


def test_omitted_forms_that_cannot_change_keep_the_local_settings():
    text = with_forms("(tenant a (quota-per-s 7))", "(attempts (most 2))", "(max-open 50)")
    text = replaced(text, "4000", "4500")
    settings = settings_in_force(LOCAL, text, "c")
    assert settings.class_[0].deadline_ms == 4500.0
    assert settings.max_open == 50
    assert settings.tenant == (Tenant("a", 7.0),)
    assert settings.attempts == Attempts(most=2)
    assert (settings.listen, settings.identity, settings.seed) == (LOCAL.listen, LOCAL.identity, 5)
    # Open connections keep the local idle time; the rest of the form is taken as published, which is the default here.
    assert settings.servers == Servers(idle_ms=77.0)


def test_a_form_that_cannot_change_may_be_stated_unchanged():
    text = with_forms("(listen (port 9))", "(identity (index 3) (count 8) (zone 1))", "(servers (idle-ms 77))")
    assert settings_in_force(LOCAL, text, "c").servers == Servers(idle_ms=77.0)


@pytest.mark.parametrize(
    "form",
    [
        "(listen (port 10))",
        "(identity (index 1) (count 2))",
        "(discovery (port 1))",
        '(log (level "debug"))',
        '(snapshot (file "s"))',
        "(seed 9)",
        '(peers (key "k"))',
        '(feed (public-key "k") (region r) (relay a (region r) (address "h:1")))',
        '(duties (key "k") (voter v (address "h:1")))',
    ],
)
def test_changing_a_form_that_cannot_change_is_rejected_with_its_position(form):
    name = form[1:].split()[0]
    with pytest.raises(sexpr.SettingsError) as raised:
        settings_in_force(LOCAL, with_forms(form), "configuration/b")
    assert str(raised.value).startswith(f"configuration/b:7:3: broker > {name}: cannot change while the broker runs")


def test_layout_schema_and_pools_cannot_change():
    for old, new, path in (
        ("(cells 12)", "(cells 13)", "c:4:3: broker > layout"),
        ("schema.graphql", "other.graphql", "c:3:3: broker > schema"),
    ):
        with pytest.raises(sexpr.SettingsError, match=f"{path}: cannot change"):
            settings_in_force(LOCAL, replaced(GOOD, old, new), "c")
    with pytest.raises(sexpr.SettingsError, match="c:7:12: broker > servers > idle-ms: cannot change"):
        settings_in_force(LOCAL, with_forms("(servers (idle-ms 78))"), "c")


def test_what_the_site_preference_depends_on_cannot_change():
    sites = Sites((Site("n", (0,), 1), Site("s", (1,), 7)), 100.0)
    local = msgspec.structs.replace(LOCAL, sites=sites)
    assert settings_in_force(local, with_forms("(max-open 50)"), "c").sites == sites
    for form in ("(tenant a (quota-per-s 7))", "(servers (cold-ms 56))", "(over-share-worth 0.2)"):
        with pytest.raises(sexpr.SettingsError, match="cannot change"):
            settings_in_force(local, with_forms(form), "c")
    with pytest.raises(sexpr.SettingsError, match="broker > class: cannot change"):
        settings_in_force(local, replaced(GOOD, "4000", "4500"), "c")


def test_what_the_slow_start_budget_depends_on_cannot_change():
    local = msgspec.structs.replace(LOCAL, duties=Duties(("k",), (VoterEndpoint("v", "h:1"),)))
    assert settings_in_force(local, GOOD, "c").servers == local.servers
    with pytest.raises(sexpr.SettingsError, match="c:7:3: broker > servers: cannot change"):
        settings_in_force(local, with_forms("(servers (idle-ms 77) (cold-ms 56))"), "c")


def test_every_broker_accepts_its_own_settings():
    form = "(identity (index 3) (count 8) (zone 1)) (listen (port 9)) (servers (idle-ms 77) (cold-ms 55)) (seed 5)"
    assert settings_in_force(LOCAL, with_forms(form), "c") == LOCAL
