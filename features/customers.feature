Feature: Customers and their keys
  Guards against requests served without a valid key, keys that reach an upstream or a log, and calls
  that count for another customer. Customer "ann" holds the keys k-ann-1 and k-ann-2 and has rank 0,
  "bob" holds k-bob and has rank 2. Route "/open/" needs no key; "/safe/", "/once/" and "/open/" lead
  to s0. Daemons, the store and the upstreams' stand-ins run in one process.

  # Fields are header lines separated by ";"; "sees" is the customer's name that the upstream gets, or
  # "-" for none.
  Scenario Outline: access: <guards against>
    Given a platform fleet with customers
    When a caller of d1 with the fields "<fields>" sends "GET <path>"
    Then the answer is <status> and all upstreams ran it <runs> times
    And the upstream saw the customer "<sees>" and no credentials

    Examples:
      | guards against                              | path    | fields                                                   | status | runs | sees |
      | a customer that is not told to the upstream | /safe/1 | Authorization: Token k-ann-1                             | 200    | 1    | ann  |
      | a second key that is not accepted           | /safe/1 | Authorization: Token k-ann-2                             | 200    | 1    | ann  |
      | a scheme compared by case                   | /safe/1 | authorization: tOKEN k-bob                               | 200    | 1    | bob  |
      | a request without a key that is served      | /safe/1 | X-A: 1                                                   | 401    | 0    | -    |
      | an unknown key that is served               | /safe/1 | Authorization: Token k-eve                               | 401    | 0    | -    |
      | an empty key                                | /safe/1 | Authorization: Token                                     | 401    | 0    | -    |
      | another scheme that is taken for a key      | /safe/1 | Authorization: Basic k-ann-1                             | 401    | 0    | -    |
      | two keys of which one is unknown            | /safe/1 | Authorization: Token k-ann-1; Authorization: Token k-eve | 401    | 0    | -    |
      | a forged customer                           | /safe/1 | Authorization: Token k-bob; X-Tenant: ann                | 200    | 1    | bob  |
      | a forged customer without a key             | /open/1 | X-Tenant: ann                                            | 200    | 1    | -    |
      | an open route that asks for a key           | /open/1 | X-A: 1                                                   | 200    | 1    | -    |
      | a customer lost on an open route            | /open/1 | Authorization: Token k-ann-1                             | 200    | 1    | ann  |
      | a withdrawn key of use on an open route     | /open/1 | Authorization: Token k-eve                               | 401    | 0    | -    |
      | a missing route that needs a key            | /none/1 | X-A: 1                                                   | 404    | 0    | -    |

  Scenario: the daemon next to the upstream counts a call for its customer
    Guards against a queue that never learns whose calls it holds, so that no customer is over its share.
    Given a platform fleet with customers
    When a caller of d1 with the fields "Authorization: Token k-ann-1" sends "GET /safe/1"
    Then the answer is 200 and all upstreams ran it 1 times
    And the queue of the upstream that ran it counts demand of "ann"

  Scenario: credentials are passed on where the configuration has no customers
    Guards against a change for deployments without customers.
    Given a platform fleet
    When a caller of d1 with the fields "Authorization: Token k-ann-1; X-Tenant: ann" sends "GET /safe/1"
    Then the answer is 200 and all upstreams ran it 1 times
    And the upstream saw the fields "authorization: Token k-ann-1; x-tenant: ann"

  Scenario: a withdrawn key is refused and a new one accepted
    Guards against a withdrawn key that is still of use, also at a daemon that starts again.
    Given a platform fleet with customers
    When the operator writes version 9 in which "ann" holds "k-ann-2,k-ann-3"
    Then a caller of d1 gets "k-ann-1 401; k-ann-2 200; k-ann-3 200; k-bob 200"
    When daemon d1 is killed and starts again
    Then a caller of d1 gets "k-ann-1 401; k-ann-2 200; k-ann-3 200; k-bob 200"

  Scenario: no log line and no metric holds a key
    Guards against keys that leave the daemon by its log or its metrics.
    Given a platform fleet with customers
    When the operator writes version 9 in which "ann" holds "k-ann-2,k-ann-3"
    Then a caller of d1 gets "k-ann-1 401; k-ann-2 200; k-eve 401; k-bob 200"
    When upstreams "u0,u2" answer "error,reset,garbled,error,reset"
    And a caller of d1 with the fields "Authorization: Token k-ann-2" sends "POST /once/1"
    And a caller of d1 with the fields "Authorization: Token k-ann-2" sends "GET /safe/1"
    Then no log line or metric contains "k-ann-1,k-ann-2,k-ann-3,k-bob,k-eve"
    And d1 has logged "call_refused" with "reason=unknown-key"
    And d1 has logged "call" with "customer=ann"

  # The rank of a call, the lower the more important, as CUSTOMER_RANK/ROUTE_RANK; "-" is no customer.
  Scenario Outline: rank: <guards against>
    Then the calls "<order>" rank in this order

    Examples:
      | guards against                                      | order             |
      | a route's rank before the customer's                | 0/3 1/0 2/0       |
      | calls of one customer without the route's rank      | 1/0 1/1 1/2       |
      | calls of running upstreams behind those of callers  | -/0 1/0           |
      | a large rank of a route that overtakes a customer   | 0/900 1/0         |
      | a negative rank that overtakes other customers      | -5/1 1/0          |

  Scenario: a table of many keys is searched by digest
    Guards against a look-up whose time grows with the table, and digests made again for each version.
    When a key table of 20000 customers is built twice with one hasher
    Then every 1000th key is found, no other key is, and the second table hashed no key
