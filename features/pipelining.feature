Feature: How many requests sent ahead are started
  Guards against a client that gets many large responses into memory by requests of a few bytes,
  and against a client that waits for a start although it reads its responses. Sizes are in KiB.

  Scenario Outline: <case>
    Given a connection that got responses of sizes "<got>"
    And <running> of its requests run, <waiting> KiB wait for earlier ones and <unsent> KiB are unsent
    Then with memory "<memory>", one more request <may> start

    Examples:
      | case                              | got             | running | waiting | unsent | memory | may     |
      | the first request                 |                 | 0       | 0       | 0      | enough | may     |
      | the eighth request                |                 | 7       | 0       | 0      | enough | may     |
      | before any response               |                 | 8       | 0       | 0      | enough | may not |
      | after small responses             | 1 1 1           | 63      | 0       | 0      | enough | may     |
      | after a large response            | 256             | 4       | 0       | 0      | enough | may not |
      | fewer large responses             | 256             | 3       | 0       | 0      | enough | may     |
      | small responses after a large one | 256 1 1 1 1     | 60      | 0       | 0      | enough | may     |
      | responses that wait               | 1 1 1 1 1 1 1   | 1       | 1024    | 0      | enough | may not |
      | responses that are not taken      | 1 1 1 1 1 1 1   | 1       | 0       | 1024   | enough | may not |
      | one request at a time             | 256             | 0       | 0       | 1000   | enough | may     |
      | memory is short                   | 1 1 1           | 1       | 0       | 0      | short  | may not |
      | memory is short, none runs        | 1 1 1           | 0       | 0       | 0      | short  | may     |
