"""The active configuration of a process."""

from badgerbend.feed.configuration import ActiveConfiguration, RejectedConfiguration, UnusableConfigurationError


def test_a_configuration_is_active_from_the_next_turn_and_earlier_work_keeps_its_own():
    def read(data):
        if data == b"bad":
            raise UnusableConfigurationError("line 2: field `wait`")
        return data.decode()

    held = ActiveConfiguration(read, "first")
    began_under = held.current
    assert held.stage(4, b"second") == ""
    assert held.current.settings == "first"
    assert held.activate()
    assert not held.activate()
    assert (held.current.revision, held.current.settings) == (4, "second")
    assert began_under.settings == "first"
    assert held.stage(5, b"bad") == "line 2: field `wait`"
    assert not held.activate()
    assert held.current.revision == 4
    assert held.rejected == RejectedConfiguration(5, "line 2: field `wait`")
