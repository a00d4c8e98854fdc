"""A transport without a socket, for a connection of the HTTP server."""


class ClientTransport:
    """A transport that records what is written and fails if anything is written after the end."""

    def __init__(self):
        self.written, self.closed, self.ended = b"", False, False

    def write(self, data):
        assert not self.ended
        self.written += data

    def write_eof(self):
        self.ended = True

    def is_closing(self):
        return self.closed

    def close(self):
        self.closed = True

    abort = close

    def pause_reading(self): ...

    def resume_reading(self): ...

    def get_extra_info(self, name): ...

    def set_write_buffer_limits(self, high): ...

    def get_write_buffer_size(self):
        return 0
