Feature: Requests that crash engines are refused on the platform
  Guards against prompts with one part in common that crash one engine after
  the other, although no two of the requests are alike.

  Scenario: Requests with a part that crashes engines are refused
    Given a VM on the platform with 9 engines that crash on the part "dead"
    When 8 requests with parts "f1,f2,dead" and another last part are sent
    Then at most 5 engines have crashed
    And the last request got status 503 and no time to come back
    When 1 requests with parts "f1,f2" and another last part are sent
    Then the last request got status 200

  # Guards against a stream that broke off and reaches the caller with the text
  # of an error in it, or as complete.
  Scenario Outline: A stream whose engines crash ends incomplete
    Given a VM on the platform with 3 engines that crash on the part "dead"
    When a request to "/<route>/1" with parts "late" is sent
    Then the caller received the head and event 1 and no end

    Examples:
      | route  |
      | plan   |
      | resume |
