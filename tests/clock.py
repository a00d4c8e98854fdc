"""A simulated clock that runs scheduled callbacks in the order of their times."""

import heapq


class Clock:
    def __init__(self):
        self.now, self.queue, self.sequence = 1000.0, [], 0

    def at(self, when, callback):
        self.sequence += 1
        heapq.heappush(self.queue, (when, self.sequence, callback))

    def run(self, span):
        end = self.now + span
        while self.queue and self.queue[0][0] <= end:
            when, _, callback = heapq.heappop(self.queue)
            self.now = max(self.now, when)
            callback()
        self.now = end
