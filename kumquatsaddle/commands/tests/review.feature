Feature: kumquatsaddle-review

  Scenario: Exit codes tell scripts what was found
    # Guards against a script that sends a version which the fleet refuses.
    Then exit code 0 means nothing or differences, 1 warnings, 2 errors or bad input

  Scenario: All errors are printed at once
    # Guards against an operator who corrects one error at a time.
    Then a file with several errors prints each with its path

  Scenario: Text and JSON show the same findings
    # Guards against a script that reads less than an operator does.
    Then the JSON output has the findings and counts of the text output

  Scenario: The capacity file enables the checks of work and quotas
    # Guards against checks that never run, and against a capacity that is half read.
    Then a capacity file gives its warnings, and an invalid one is bad input

  Scenario: Any JSON and any bytes give findings or a result
    # Guards against a traceback, which names neither the file nor the field.
    Then any changed configuration gives findings or a result, never a traceback
    And any other JSON and any bytes give an error

  Scenario: API keys are never printed
    # Guards against API keys in terminals, tickets and logs of pipelines.
    Then no output contains an API key or its digest, wherever the key is misplaced

  Scenario: A terminal that cannot show a name
    # Guards against a traceback that hides the findings.
    Then a name outside ASCII is escaped for an ASCII terminal

  Scenario: An installation without the format of the platform
    # Guards against a traceback where the package is installed without a checkout.
    Then without the reader of the format the command says which file is missing
