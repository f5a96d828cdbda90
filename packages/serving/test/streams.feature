@streams
Feature: Hosts know which software version began a stream
  A stream may be taken up again at another host for 60 s.

  Scenario: While a service has one version, streams are not reported and may go on anywhere
    Given a fleet that starts for the first time
    And the servers of a service have the versions "1"
    When version "1" begins the stream "a"
    Then the streams "" are reported
    And the stream "a" goes on at version "1"
    And the stream "unknown" goes on at version "1"

  Scenario: Streams are reported as soon as a second version serves
    Given the servers of a service have the versions "1"
    When version "1" begins the stream "a"
    And the servers of a service have the versions "1 2"
    Then the streams "a" are reported
    When version "2" begins the stream "b"
    Then the streams "a b" are reported
    And the stream "b" goes on at version "2"
    And it is not known where the stream "unknown" goes on

  # After the loss of all hosts, streams that began at one version went on at another one.
  Scenario: A host that has just started does not know which versions served before it
    Given the servers of a service have the versions "2"
    Then it is not known where the stream "unknown" goes on
    When 61 s go by
    Then the stream "unknown" goes on at version "2"

  Scenario: A version that has just gone may have begun a stream
    Given the servers of a service have the versions "1"
    And 1 s go by
    And the servers of a service have the versions "2"
    Then it is not known where the stream "unknown" goes on
    When 61 s go by
    And the servers of a service have the versions "2"
    Then the stream "unknown" goes on at version "2"

  Scenario: Versions that stay listed count however long the list does not change
    Given the servers of a service have the versions "1 2"
    When 300 s go by
    Then it is not known where the stream "unknown" goes on

  Scenario: Old streams are forgotten
    Given the servers of a service have the versions "1 2"
    When version "1" begins 50 streams
    Then 20 streams are known
    When 61 s go by
    And version "1" begins the stream "last"
    Then 1 streams are known
