Feature: Entities and their checks

  Scenario: Hostile JSON values
    # Guards against values that crash an instance or errors that name no place.
    Then any JSON value of any kind is an entity or an error that names its place

  Scenario: A valid entity with one hostile field
    # Guards against a field that is accepted with a value of the wrong kind.
    Then each field of a valid entity refuses hostile values and names itself

  Scenario: JSON values and entities are inverse
    # Guards against a snapshot that changes the meaning of an entity.
    Then every valid entity survives a dump, a parse and a snapshot

  Scenario: Equal numbers in different fields
    # Guards against a rank and a number that share one value because they are equal.
    Then a rank of 0 and a floor of 0 stay apart

  Scenario: Routes by longest prefix
    # Guards against an index of routes that answers unlike a search through all.
    Then the index of a template finds the same route as a search in order

  Scenario: Hostile changes and lists from peers
    # Guards against a damaged message that is applied or ends a task.
    Then any bytes are a valid change, list or snapshot or a configuration error
