Feature: Crowds of callers that break the limits
  Guards against a process that runs out of memory or descriptors, because it
  holds what callers send in part, and answers that they never read. The
  process runs with the smallest limits that a VM has.

  Scenario Outline: A crowd that reads nothing
    Given a process with 128 MB of memory and 1638 descriptors
    When <count> callers send <message> and read nothing
    Then the process lives and answers an ordinary request
    And its memory and its descriptors stayed within its limits

    Examples: Valid requests, sent without waiting for answers
      | count | message                                 |
      | 600   | 200 requests for 64 KB each             |
      | 300   | 20 requests for 2 MB each               |
      | 600   | 10 requests for long streams            |
      | 600   | 2000 requests for 4 bytes each          |

    Examples: Bodies of which a part is sent
      | count | message                                 |
      | 150   | 1 MB of a body of 4 MB                  |
      | 150   | 1 MB of a body in chunks                |
      | 40    | all but a byte of a body of 4 MB        |

    Examples: Complete bodies for a server that does not answer
      | count | message                                 |
      | 100   | 3 requests with bodies of 1 MB          |

    Examples: Requests without the usual headers
      | count | message                                 |
      | 600   | 200 requests without Deadline-Remaining |
      | 600   | 200 bodies without Content-Length       |

    Examples: Requests without the usual headers that need little memory
      | count | message                                 |
      | 600   | 200 requests without Token-Usage        |
      | 600   | 200 requests without Host               |
      | 600   | 200 requests without any header         |
      | 1000  | a head that never ends                  |

    Examples: Connections
      | count | message                                 |
      | 2500  | a part of a head                        |
      | 2500  | nothing                                 |

    Examples: All together
      | count | message                                 |
      | 600   | a mix                                   |
