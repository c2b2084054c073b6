Feature: Settings of the daemon
  Guards against a daemon that starts with settings it misunderstands.

  Scenario Outline: settings with <fault>
    Given valid settings in which "<old>" is replaced by "<new>"
    Then the settings have the finding "<finding>" and no other

    Examples:
      | fault               | old                        | new                       | finding                                                        |
      | unknown key         | seed = 1                   | sed = 1                   | 10: daemon.sed: unknown key 'sed'; did you mean 'seed'? [unknown-key] |
      | unknown table       | [policy]                   | [polcy]                   | 15: polcy: unknown key 'polcy'; did you mean 'policy'? [unknown-key] |
      | missing key         | region = "r"               |                           | 1: daemon.region: key 'region' is missing [missing]            |
      | wrong type          | peer_port = 7002           | peer_port = "7002"        | 7: daemon.peer_port: must be a number [type]                   |
      | port out of range   | peer_port = 7002           | peer_port = 70020         | 7: daemon.peer_port: must be at most 65535 [range]             |
      | the same port twice | peer_port = 7002           | peer_port = 7001          | 7: daemon.peer_port: 'call_port' has the same port [same-port] |
      | host name           | host = "127.0.0.1"         | host = "localhost"        | 5: daemon.host: 'localhost' is not an IP address [form]        |
      | address, no port    | address = "127.0.0.1:9000" | address = "127.0.0.1"     | 13: log.address: '127.0.0.1' is not an address of the form ip:port [form] |
      | address, bad port   | address = "127.0.0.1:9000" | address = "127.0.0.1:0"   | 13: log.address: '127.0.0.1:0' has no port from 1 to 65535 [form] |
      | empty id            | id = "d"                   | id = ""                   | 2: daemon.id: '' is empty or contains white space [form]       |
      | unknown policy      | balancing = "adaptive"     | balancing = "adaptiv"     | 16: policy.balancing: 'adaptiv' is not one of adaptive, round-robin, two-random; did you mean 'adaptive'? [choice] |
      | memory as text      | memory_mb = 200            | memory_mb = "200"         | 19: limits.memory_mb: must be a number [type] |
      | memory as Boolean   | memory_mb = 200            | memory_mb = true          | 19: limits.memory_mb: must be a number [type] |
      | too little memory   | memory_mb = 200            | memory_mb = 15.9          | 19: limits.memory_mb: must be at least 16 [range] |
      | too much memory     | memory_mb = 200            | memory_mb = 1000001       | 19: limits.memory_mb: must be at most 1e+06 [range] |
      | memory, no number   | memory_mb = 200            | memory_mb = nan           | 19: limits.memory_mb: must be a finite number [range] |
      | negative memory     | memory_mb = 200            | memory_mb = -200          | 19: limits.memory_mb: must be at least 16 [range] |
      | descriptors as text | descriptors = 4096         | descriptors = "4096"      | 20: limits.descriptors: must be a number [type] |
      | part of a descriptor | descriptors = 4096         | descriptors = 4096.5      | 20: limits.descriptors: must be a number [type] |
      | too few descriptors | descriptors = 4096         | descriptors = 31          | 20: limits.descriptors: must be at least 32 [range] |
      | too many descriptors | descriptors = 4096         | descriptors = 1000001     | 20: limits.descriptors: must be at most 1e+06 [range] |
      | request as text     | control_request_kb = 256   | control_request_kb = "256" | 21: limits.control_request_kb: must be a number [type] |
      | part of a KB        | control_request_kb = 256   | control_request_kb = 256.5 | 21: limits.control_request_kb: must be a number [type] |
      | too small requests  | control_request_kb = 256   | control_request_kb = 63   | 21: limits.control_request_kb: must be at least 64 [range] |
      | too large requests  | control_request_kb = 256   | control_request_kb = 32769 | 21: limits.control_request_kb: must be at most 32768 [range] |
      | unknown limit       | descriptors = 4096         | descriptor = 4096         | 20: limits.descriptor: unknown key 'descriptor'; did you mean 'descriptors'? [unknown-key] |
      | unknown limits table | [limits]                   | [limit]                   | 18: limit: unknown key 'limit'; did you mean 'limits'? [unknown-key] |

  Scenario: every finding of the settings is shown and the daemon exits with code 2
    Given valid settings in which "peer_port = 7002" is replaced by "peer_prt = 7002"
    And "127.0.0.1:9000" is replaced by "nowhere" in the settings
    Then a daemon with these settings exits with code 2 and shows lines "1, 7, 13"
