Feature: HTTP towards callers, peers and upstreams
  Guards against requests and responses that are truncated, mixed up, run twice or that end the
  process. In raw messages ~ stands for CRLF and {A*9} for nine times A.

  Scenario Outline: a listener that gets <fault> answers "<statuses>"
    Given a listener
    When a client sends "<raw>"
    Then the client sees the statuses "<statuses>" and the end of the connection
    And the handler saw <seen> requests and still answers

    Examples:
      | fault                       | raw                                                                                     | statuses | seen |
      | an over-long head           | GET / HTTP/1.1~Host: x~X: {A*40000}~~                                                   |          | 0    |
      | an over-long start line     | GET /{A*40000} HTTP/1.1~Host: x~~                                                       |          | 0    |
      | an over-long stated body    | POST / HTTP/1.1~Host: x~Content-Length: 1048577~~                                       | 400      | 0    |
      | an over-long chunk          | POST / HTTP/1.1~Host: x~Transfer-Encoding: chunked~~100001~                             | 400      | 0    |
      | a negative length           | POST / HTTP/1.1~Host: x~Content-Length: -1~~                                            | 400      | 0    |
      | a length that is no number  | POST / HTTP/1.1~Host: x~Content-Length: ten~~                                           | 400      | 0    |
      | two different lengths       | POST / HTTP/1.1~Host: x~Content-Length: 3~Content-Length: 4~~abcd                       | 400      | 0    |
      | a length and chunks         | POST / HTTP/1.1~Host: x~Content-Length: 3~Transfer-Encoding: chunked~~0~~               | 400      | 0    |
      | an unknown coding           | POST / HTTP/1.1~Host: x~Transfer-Encoding: gzip~~                                       | 400      | 0    |
      | a bad chunk size            | POST / HTTP/1.1~Host: x~Transfer-Encoding: chunked~~zz~                                 | 400      | 0    |
      | a body longer than stated   | POST / HTTP/1.1~Host: x~Content-Length: 1~~abc~~                                        | 200 400  | 1    |
      | no host                     | GET / HTTP/1.1~~                                                                        | 400      | 0    |
      | two hosts                   | GET / HTTP/1.1~Host: a~Host: b~~                                                        | 400      | 0    |
      | no request line             | hello~~                                                                                 | 400      | 0    |
      | a header without a colon    | GET / HTTP/1.1~Host: x~broken~~                                                         | 400      | 0    |
      | another protocol            | GET / HTTP/3.0~Host: x~~                                                                | 400      | 0    |
      | pipelined requests          | GET /1 HTTP/1.1~Host: x~~GET /2 HTTP/1.1~Host: x~Connection: close~~                    | 200 200  | 2    |
      | an expectation              | POST / HTTP/1.1~Host: x~Expect: 100-continue~Content-Length: 1~Connection: close~~a     | 100 200  | 1    |
      | an offer of HTTP/2 | GET /1 HTTP/1.1~Host: x~Connection: Upgrade, HTTP2-Settings~Upgrade: h2c~HTTP2-Settings: AAMAAABkAAQAAP__~~GET /2 HTTP/1.1~Host: x~Connection: close~~ | 200 200 | 2 |
      | an offer with a body | POST /1 HTTP/1.1~Host: x~Connection: Upgrade, HTTP2-Settings~Upgrade: h2c~HTTP2-Settings: AAMAAABkAAQAAP__~Content-Length: 1~~aGET /2 HTTP/1.1~Host: x~Connection: close~~ | 200 200 | 2 |
      | an offer of WebSocket | GET /1 HTTP/1.1~Host: x~Connection: Upgrade~Upgrade: websocket~~GET /2 HTTP/1.1~Host: x~Connection: close~~ | 200 200 | 2 |
      | an announced trailer | POST /1 HTTP/1.1~Host: x~TE: trailers~Trailer: X-Sum~Transfer-Encoding: chunked~~1~a~0~X-Sum: 1~~GET /2 HTTP/1.1~Host: x~Connection: close~~ | 200 200 | 2 |
      | HEAD                        | HEAD / HTTP/1.1~Host: x~Connection: close~~                                             | 200      | 1    |
      | a failing handler           | GET /fail HTTP/1.1~Host: x~Connection: close~~                                          | 500      | 1    |
      | a response with a bad field | GET /bad-field HTTP/1.1~Host: x~Connection: close~~                                     | 500      | 1    |
      | a head without an end       | GET / HTTP/1.1~Host: x~                                                                 |          | 0    |
      | a body without an end       | POST / HTTP/1.1~Host: x~Content-Length: 9~~abc                                          |          | 0    |

  Scenario: a failing handler is logged once and its outcome is unknown
    Guards against a response that says the request did not run, so that a caller repeats it.
    Given a listener
    When a client sends "GET /fail HTTP/1.1~Host: x~Connection: close~~"
    Then the response has the field "Agatecross-Outcome: unknown" and one line is logged

  Scenario: HEAD states the length of the upstream and has no body
    Guards against a body that the client takes for the start of the next response.
    Given a listener
    When a client sends "HEAD /length HTTP/1.1~Host: x~Connection: close~~"
    Then the response has the field "Content-Length: 77" and no body

  Scenario: fields of the connection do not reach the handler
    Guards against hop-by-hop fields that are passed on to the upstream.
    Given a listener
    When a client sends "POST / HTTP/1.1~Host: x~X-Kept: 1~X-Hop: 2~Connection: close, x-hop~Transfer-Encoding: chunked~~1~a~0~~"
    Then the handler saw the fields "Host,X-Kept" and the body "a"

  Scenario Outline: a target in <form> becomes "<path>" at "<host>"
    Guards against an absolute target that matches no route, and a host that is taken from a query.
    Then the target "<target>" with the field "Host: x" becomes "<path>" at "<host>"

    Examples:
      | form                      | target                  | path      | host     |
      | origin form               | /a/b?c=http://d/e       | /a/b?c=http://d/e | x |
      | absolute form             | http://y.example/a/b?c  | /a/b?c    | y.example |
      | absolute form with a port | HTTP://y.example:80/a   | /a        | y.example:80 |
      | absolute form of a root   | https://y.example       | /         | y.example |
      | absolute form of a query  | http://y.example?c=/d   | /?c=/d    | y.example |
      | absolute form, no host    | http:///a               | http:///a | x         |
      | another scheme            | ftp://y.example/a       | ftp://y.example/a | x |
      | asterisk form             | *                       | *         | x         |

  Scenario: a request line in absolute form reaches the handler with its path and host
    Given a listener
    When a client sends "GET http://y.example/a?b HTTP/1.1~Host: x~Connection: close~~"
    Then the handler saw the path "/a?b" and the host "y.example"

  Scenario: a client that disconnects cancels its handler
    Guards against work for a client that has gone, which would keep the listener from closing.
    Given a listener
    When a client sends a request that waits and closes its connection
    Then the handler is cancelled and the listener closes

  Scenario: no sequence of bytes stops a listener
    Guards against a malformed message, of a kind that no row above has, that ends the listener.
    Then a listener answers after each of 300 random messages

  # The head must come within 400 ms. The body is sent in parts, 100 ms apart.
  Scenario Outline: a long body: <guards against>
    Given a server that sends a head and then <parts> parts of a body of <of>
    When a client allows <stall> ms for each part and <total> ms for the body
    Then the exchange ends with "<end>"

    Examples:
      | guards against                                  | parts | of | stall | total | end                  |
      | a slow body that is taken for a silent server   | 8     | 8  | 5000  | 10000 | 200                  |
      | a server that stops in between                  | 2     | 8  | 300   | 10000 | ExchangeTimeoutError |
      | a body that never ends                          | 99    | 99 | 5000  | 500   | ExchangeTimeoutError |
      | a server that sends only a head                 | 0     | 8  | 300   | 10000 | ExchangeTimeoutError |

  Scenario Outline: a client whose server <behaviour> ends with "<end>"
    Guards against a truncated response taken as complete, and a wait beyond the timeout.
    Given a server that answers "<raw>" and then <then>
    When a client sends <method> within <timeout> ms
    Then the exchange ends with "<end>"

    Examples:
      | behaviour                      | raw                                                                       | then   | method | timeout | end                  |
      | sends half a body              | HTTP/1.1 200 OK~Content-Length: 10~~abc                                   | closes | GET    | 5000    | ConnectionLostError  |
      | sends half a chunked body      | HTTP/1.1 200 OK~Transfer-Encoding: chunked~~3~abc~                        | closes | GET    | 5000    | ConnectionLostError  |
      | states no length               | HTTP/1.1 200 OK~~abc                                                      | closes | GET    | 5000    | ConnectionLostError  |
      | sends half a head              | HTTP/1.1 200 OK~Content-                                                  | closes | GET    | 5000    | ConnectionLostError  |
      | sends no HTTP                  | hello~~                                                                   | closes | GET    | 5000    | ConnectionLostError  |
      | sends nothing                  |                                                                           | closes | POST   | 5000    | ConnectionLostError  |
      | sends an over-long body        | HTTP/1.1 200 OK~Content-Length: 8388609~~                                 | closes | GET    | 5000    | ConnectionLostError  |
      | stays silent                   |                                                                           | waits  | GET    | 100     | ExchangeTimeoutError |
      | stalls within a body           | HTTP/1.1 200 OK~Content-Length: 10~~abc                                   | waits  | GET    | 100     | ExchangeTimeoutError |
      | answers HEAD with a length     | HTTP/1.1 200 OK~Content-Length: 10~~                                      | waits  | HEAD   | 5000    | 200                  |
      | answers without content        | HTTP/1.1 204 No Content~~                                                 | waits  | GET    | 5000    | 204                  |
      | sends an interim response      | HTTP/1.1 102 Processing~~HTTP/1.1 200 OK~Content-Length: 1~~a             | waits  | GET    | 5000    | 200                  |

  Scenario Outline: a pooled connection that <fault> gives "<ends>" over <connections> connections
    Guards against a POST that is sent again after it may have run, a late response taken for the
    next one, and requests that fail because their idle connection had closed.
    Given a server whose connections <fault>
    When a client sends two POST requests one after the other
    Then the exchanges end with "<ends>", the server got <requests> requests over <connections> connections

    Examples:
      | fault                              | ends                     | requests | connections |
      | stay open                          | 200 200                  | 2        | 1           |
      | close when idle                    | 200 200                  | 2        | 2           |
      | reset when idle                    | 200 200                  | 2        | 2           |
      | get data when idle                 | 200 200                  | 2        | 2           |
      | are idle for too long              | 200 200                  | 2        | 2           |
      | are reset after the check          | 200 200                  | 2        | 2           |
      | close on the second request        | 200 ConnectionLostError  | 2        | 1           |
      | answer late                        | ExchangeTimeoutError 200 | 2        | 2           |

  Scenario: a client call that is cancelled at any step ends cancelled
    Guards against a cancellation that gets lost while a connection opens: the call then goes on and
    its daemon does not stop.
    Then a call that is cancelled after each of 60 steps of the loop ends cancelled
