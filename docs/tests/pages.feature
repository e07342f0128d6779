Feature: the pages are right

  # Guards against pages that name files which were moved or never written.
  Scenario: every file and folder that a page names exists
    Then every path that a page names exists

  # Guards against pages that name modules or members which were renamed.
  Scenario: every module that a page names can be imported
    Then every module that a page names can be imported

  # Guards against links to pages or headings that are gone.
  Scenario: every relative link resolves
    Then every relative link of the pages resolves

  # Guards against pages that the index forgets.
  Scenario: the index leads to every page
    Then the index links to every page below docs

  # Guards against reasons that are added or change their outcome without the page.
  Scenario: the table of refusal reasons is complete
    Then the protocol page lists every refusal reason with its status and outcome

  # Guards against checks of the review that are added or renamed without the page.
  Scenario: the table of the review's checks is complete
    Then the review page lists every check and says which need all entries

  # Guards against pages that show a make target which has no recipe or module.
  Scenario: the make targets that are shown can be made
    Then every make target that a page shows runs a module or tool that exists

  # Guards against a list of exceptions that outlives the commands.
  Scenario: every command that is not run is still shown
    Then every command that is not run is shown by a page and has a reason

  # Guards against Python examples that do not do what the page says.
  Scenario: the Python examples give the results shown
    Then the Python examples of all pages give the results shown

  # Guards against shell commands that fail or print something else than shown.
  Scenario Outline: the commands of <page> give the results shown
    When the commands of the page "<page>" are run
    Then each of them succeeds and prints what the page shows

    Examples:
      | page                                     |
      | docs/operators/first-set-up.md           |
      | docs/operators/stop.md                   |
      | docs/protocol.md                         |
      | CONTRIBUTING.md                          |
      | docs/operators/review-a-configuration.md |

  # Guards against console blocks on pages that no scenario runs.
  Scenario: every page with commands is run
    Then every page with commands that may run is named in this feature
