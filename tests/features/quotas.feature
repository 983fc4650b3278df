Feature: quotas of client accounts hold over all daemons

  Scenario: no window is over its limit, whatever happens
    # Guards against tokens that are created or used twice: after lost, repeated and late
    # messages, pauses, restarts, partitions, and changes of members and quotas.
    When the quota machine runs 60 examples of 30 steps
    Then the quota machine has found no violation

  Scenario: the plan of any quota stays within the limit of a window
    # Guards against roundings and allowances that together exceed the slack.
    Then for any quota, slack and number of failure domains the plan is within the limit
    And with the slack of the platform no account is granted less than its quota

  Scenario Outline: a fleet serves requests within the quota
    # Guards against quotas that most daemons cannot use.
    When 10 daemons serve accounts for 10 s, <situation>
    Then at least <served> of the requests within the quota are served
    And no window is over its limit

    Examples:
      | situation      | served |
      | calm           | 0.99   |
      | region cut off | 0.97   |
      | restarts       | 0.97   |

  Scenario: grants that arrive after a pause are not used
    # Guards against a daemon that resumes with tokens of an earlier window.
    Given a fleet of 12 daemons and an account with 10 requests a second
    When a daemon is paused for 6 s while a grant is on its way
    Then the grant serves no request

  Scenario: lent tokens that arrive late are not used
    # Guards against tokens of an earlier window that a keeper still lends out.
    Given a fleet of 12 daemons and an account with 10 requests a second
    When a lender's tokens come 6 s late
    Then its keeper has borrowed none

  Scenario: lent tokens occupy the bucket of their lender
    # Guards against buckets that are refilled while their tokens are on their way, so
    # that more tokens exist than all buckets hold.
    Then for any order of takes, loans and waits no bucket has more than its capacity

  Scenario: two versions of a quota do not add up
    # Guards against daemons that apply a version early and take the parts of others.
    Given a fleet of 12 daemons and an account with 80 requests a second
    When a new version divides the quota among half as many keepers
    Then daemons with either version create at most the quota together

  Scenario: a changed quota is held until the tokens of the earlier one are too old
    # Guards against a hold that forgets the least age of tokens if overshoot is 0.
    Then without overshoot a hold lasts for a window and 250 ms after the last change

  Scenario: a token of a request that has not run is used again
    # Guards against refusals that count as requests.
    Given a fleet of 12 daemons and an account with 10 requests a second
    When 500 requests at one daemon proceed, and none of them is run by a server
    Then none of them is refused

  Scenario: a daemon that is added becomes keeper when the earlier one has stopped
    # Guards against two keepers of an account, or none for long, after growth.
    Given a fleet of 12 daemons and an account with 10 requests a second
    When a daemon joins that has never been registered
    Then it creates no tokens for 630 s, and the earlier keeper does for 600 s

  Scenario: no part of a quota is created twice while daemons are added and removed
    # Guards against two keepers of an account whose lists or clocks differ.
    When the growth machine runs 60 examples of 25 steps
    Then the growth machine has found no violation

  Scenario: accounts keep their quotas when many daemons are added
    # Guards against new keepers that displace the earlier ones before they may create.
    Given a fleet of 87 daemons and 86 accounts
    When 18 daemons are added
    Then each account keeps 1.0 of its quota for 600 s, and 0.97 over 900 s

  Scenario: accounts with a low rate are served after a restart of all daemons
    # Guards against keepers that begin with no token, and then take seconds for one.
    Given a fleet of 12 daemons and an account with 1 requests a second
    When all daemons restart
    Then a request in each failure domain is served

  Scenario: start tokens are used once in a window
    # Guards against a daemon that restarts in a loop and creates tokens each time.
    Given a fleet of 12 daemons and an account with 1 requests a second
    When all daemons restart
    And all daemons restart
    Then a request in each failure domain is refused

  Scenario: a keeper that ends is replaced by one that lends
    # Guards against a failure domain whose requests are all refused after that.
    Given a fleet of 12 daemons and an account with 10 requests a second
    When the keeper of a failure domain ends
    Then requests of its failure domain still get tokens

  Scenario: a first list that lacks daemons costs no quota for long
    # Guards against daemons that create tokens twice, or too few, after the first start.
    When 12 daemons start and half of them are not in the first list
    Then they create the whole quota after 16 s, and no more before

  Scenario: without quotas there is no message and no stream
    Given a fleet of 12 daemons and an account without a quota
    When 100 requests pass the gates
    Then all proceed without a message, and no daemon needs a stream

  Scenario: messages of peers that are malformed have no effect
    # Guards against a peer that makes this daemon keep what it sends, or fail.
    Given a fleet of 12 daemons and an account with 10 requests a second
    Then malformed token messages change nothing

  Scenario: an account over its quota is refused while another one is served
    # Guards against a flood of one customer that reaches the servers.
    Given a platform with 4 shards and the daemon "e1" in "a1"
    And the daemon "e2" runs in "b1" connected to "e1"
    And the accounts "ralo" and "tyrn" with keys of their names
    And the account "ralo" has {"rate_per_s": 2, "burst": 4}
    When "ralo" floods both daemons for 3 s while "tyrn" sends some
    Then most requests of "ralo" get 429 with a time to retry
    And servers got at most 35 requests of "ralo"
    And all requests of "tyrn" are served
