"""The slow-start budget: the rates at which brokers may send to servers that are warming up, allocated by demand.

Every broker has its own rate for a server that is warming up, and these rates sum up to what the server can take. If
traffic is uneven, most of that sum is unused, at brokers that have little to send to the server. The holder of the
lease on the slow-start duty, called the allocator, moves the unused rate to brokers that need more, by grants of a
limited duration. It never creates rate:

    sum over brokers of the rate usable now  <=  sum over brokers of the own rate last reported.

This holds without a common clock, and if replies are lost, delayed, duplicated or reordered:

- Expiry of grants. A broker counts a grant's duration from before it sent the request, shortened by the bound on clock
  rates. The allocator counts it from when it issued the grant, lengthened by that bound. A grant has therefore expired
  at the broker before the allocator assigns its rate to another broker.
- Rate given up. A broker that was granted less than its own rate is capped: it stays at or below the granted rate for
  some time after the grant has expired. The allocator relies on the cap only after a later request has acknowledged
  the grant, and only for a fixed time from when it issued the grant. The broker counts that time from when the reply
  arrived, which was later.
- Several grants. While more than one grant may be in force at a broker, the allocator counts the largest.
- Change of the allocator. A new allocator issues no grant for one duration after it took over, by when all grants of
  its predecessor have expired.
- Late replies. A broker ignores a reply whose grants have expired when it arrives, whichever allocator sent it.
- Failures. A broker that sends no request or gets no reply uses its own rate, as if there were no allocator. No query
  waits for a grant.

This package opens no socket and reads no clock; `badgerbend.lease_service` does.
"""
