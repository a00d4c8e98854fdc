"""Time of a test's own: what is to happen, in the order of its times."""

import heapq


class Clock:
    def __init__(self):
        self.now, self.queue, self.order = 1000.0, [], 0

    def at(self, when, what):
        self.order += 1
        heapq.heappush(self.queue, (when, self.order, what))

    def run(self, span):
        end = self.now + span
        while self.queue and self.queue[0][0] <= end:
            when, _, what = heapq.heappop(self.queue)
            self.now = max(self.now, when)
            what()
        self.now = end
