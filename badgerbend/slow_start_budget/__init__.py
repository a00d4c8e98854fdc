"""The slow-start budget: the rate at which brokers may send to servers that are warming up, shared by demand. Pure.

Every broker has a rate of its own for a server that is warming up, and these rates sum up to what the server can take.
Where traffic is uneven, most of that sum lies unused at brokers that have little to send there. The leader of the
slow-start duty, the allocator, moves the unused rate to brokers that need more, by grants of a limited duration. It
never creates rate:

    sum over brokers of the rate usable now  <=  sum over brokers of the own rates last reported.

This holds without a common clock, and with replies lost, delayed, duplicated or reordered:

- Expiry of grants. A broker counts a grant's duration from before it sent the request, shortened by the bound on clock
  rates. The allocator counts it from when it issued the grant, lengthened by that bound. So a grant has expired at the
  broker before the allocator assigns its rate to another.
- Rate given up. A broker that was granted less than its own rate stays below its own rate for some time after the grant
  has expired. The allocator counts on that only once a later request has acknowledged the grant, and only for a time
  from when it issued the grant. The broker counts that time from when the reply arrived, which was later.
- Several grants. While more than one grant may be in force at a broker, the allocator counts the largest.
- Change of the allocator. A new one issues no grant for one duration after it became the leader, by when all grants of
  its predecessor have expired.
- Late replies. A broker ignores a reply whose grants have expired when it arrives, whichever allocator sent it.
- Failures. A broker that sends no request, or gets no reply, uses its own rate as if there were no allocator. No query
  waits for a grant.
"""
