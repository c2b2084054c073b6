Feature: Configuration check
  Guards against versions that name missing resources or carry unnoticed mistakes.

  Scenario Outline: <fault> is found with its place
    Given the example configuration "kafeskoop"
    When "<old>" is replaced by "<new>" in document "<document>"
    Then the only finding has code "<code>" at line <line> and key "<key>"

    Examples:
      | fault                  | document | old                               | new                       | code                | line | key                          |
      | missing service        | base     | service = "catalogue"             | service = "catalog"       | no-such-service     | 30   | routes.catalogue.service     |
      | unknown key            | base     | long_ms = 250                     | long_mss = 250            | unknown-key         | 14   | services.catalogue.long_mss  |
      | wrong type             | base     | long_ms = 250                     | long_ms = "250"           | type                | 14   | services.catalogue.long_ms   |
      | number out of range    | base     | long_share = 0.25                 | long_share = 1.5          | range               | 15   | services.catalogue.long_share|
      | broken syntax          | bursa-a  | timeout_ms = 4000                 | timeout_ms = = 4000       | syntax              | 4    |                              |
      | prefix without slash   | base     | prefix = "/members"               | prefix = "members"        | prefix              | 37   | routes.member-accounts.prefix|
      | not a number           | base     | long_share = 0.25                 | long_share = nan          | range               | 15   | services.catalogue.long_share|
      | unknown method         | base     | long_ms = 250                     | idempotent_methods = ["GETS"] | choice          | 14   | services.catalogue.idempotent_methods |
      | repeated data centre   | base     | "denizli-b"                       | "denizli-b", "bursa-a"    | same-data-centre    | 10   | regions.ege.data_centres                     |
      | list for a number      | bursa-a  | timeout_ms = 4000                 | timeout_ms = [4000]       | type                | 4    | services.materials-ordering.timeout_ms |

  Scenario Outline: a configuration with <fault> has the findings "<codes>"
    Guards against a check that fails on an empty, deeply nested or over-long document.
    Given the example configuration "kafeskoop"
    When document "<document>" is "<text>" repeated <times> times
    Then the codes of the findings are "<codes>"

    Examples:
      | fault               | document | text       | times | codes                                                |
      | an empty base       | base     |            | 1     | missing,no-data-centre,unknown-data-centre |
      | nested arrays       | bursa-a  | [          | 5000  | too-deep                                             |
      | a long dotted key   | bursa-a  | a.         | 2000  | not-in-overlay                                       |
      | a too long document | bursa-a  | # comment~ | 30000 | too-long                                             |

  Scenario Outline: customers with <fault> have the finding "<code>"
    Guards against keys that nobody can use or that two customers hold, and findings that show a key.
    Given the example configuration "kafeskoop"
    When "<customers>" is added to the base
    Then the only finding has code "<code>" and key "<key>", and its text has no "k-1"

    Examples:
      | fault                   | customers                                                         | code        | key                |
      | no keys                 | [customers.ann]                                                   | missing     | customers.ann.keys |
      | a key that is a number  | [customers.ann] ~ keys = [1]                                        | type        | customers.ann.keys |
      | an empty key            | [customers.ann] ~ keys = ['']                                       | form        | customers.ann.keys |
      | a key with a space      | [customers.ann] ~ keys = ['k-1 x']                                  | form        | customers.ann.keys |
      | the key of another      | [customers.ann] ~ keys = ['k-1'] ~ [customers.bob] ~ keys = ['k-1']     | same-key    | customers.bob.keys |
      | an unknown field        | [customers.ann] ~ keys = ['k-1'] ~ colour = 'red'                     | unknown-key | customers.ann.colour |
      | a name with a space     | [customers.'a b'] ~ keys = ['k-1']                                  | form        | customers.a b      |
      | no rate with its burst  | [customers.ann] ~ keys = ['k-1'] ~ burst = 5                          | no-rate     | customers.ann.burst |
      | a rate of zero          | [customers.ann] ~ keys = ['k-1'] ~ rate_per_second = 0                | range       | customers.ann.rate_per_second |
      | a rate out of range     | [customers.ann] ~ keys = ['k-1'] ~ rate_per_second = 2000000          | range       | customers.ann.rate_per_second |
      | a rate that is no number | [customers.ann] ~ keys = ['k-1'] ~ rate_per_second = nan             | range       | customers.ann.rate_per_second |
      | a rate in quotes        | [customers.ann] ~ keys = ['k-1'] ~ rate_per_second = '5'              | type        | customers.ann.rate_per_second |
      | a rate that is true     | [customers.ann] ~ keys = ['k-1'] ~ rate_per_second = true             | type        | customers.ann.rate_per_second |
      | a burst below zero      | [customers.ann] ~ keys = ['k-1'] ~ rate_per_second = 5 ~ burst = -1   | range       | customers.ann.burst |
      | a misspelt rate         | [customers.ann] ~ keys = ['k-1'] ~ rate_per_secnd = 5                 | unknown-key | customers.ann.rate_per_secnd |

  Scenario Outline: rule sets: customers with "<customers>"
    Guards against daemons of an earlier release that refuse a version which others put in force, and that
    stop at versions which they know.
    Given the example configuration "kafeskoop"
    When "<customers>" is added to the base
    Then rule set 2 finds "<findings>", rule set 3 nothing, and it is published under rule set <rules>
    And the customer has the rate <rate> and the burst <burst>

    Examples:
      | customers                                                            | findings    | rules | rate | burst |
      | [customers.ann] ~ keys = ['k-1']                                     |             | 2     | 0    | 0     |
      | [customers.ann] ~ keys = ['k-1'] ~ rate_per_second = 2.5             | unknown-key | 3     | 2.5  | 2.5   |
      | [customers.ann] ~ keys = ['k-1'] ~ rate_per_second = 50 ~ burst = 9  | unknown-key unknown-key | 3     | 50   | 9     |
