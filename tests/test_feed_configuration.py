"""The active configuration of a process."""

from badgerbend.feed.configuration import ActiveConfiguration, RejectedConfiguration, UnusableConfigurationError


def test_a_configuration_is_active_from_the_next_turn_and_earlier_work_keeps_its_generation():
    def read(data):
        if data == b"bad":
            raise UnusableConfigurationError("line 2: field `wait`")
        return data.decode()

    active = ActiveConfiguration(read, "first")
    generation_of_earlier_work = active.current
    assert active.stage(4, b"second") == ""
    assert active.current.settings == "first"
    assert active.activate()
    assert not active.activate()
    assert (active.current.revision, active.current.settings) == (4, "second")
    assert generation_of_earlier_work.settings == "first"
    assert active.stage(5, b"bad") == "line 2: field `wait`"
    assert not active.activate()
    assert active.current.revision == 4
    assert active.rejected == RejectedConfiguration(5, "line 2: field `wait`")
