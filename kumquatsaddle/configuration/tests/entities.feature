Feature: Entities and their checks

  Scenario: Hostile JSON values
    # Guards against values that crash an instance and errors that name no field.
    Then any JSON value of any kind is an entity or an error that names its field

  Scenario: A valid entity with one hostile field
    # Guards against a field that is accepted with a value of the wrong kind.
    Then each field of a valid entity rejects invalid values with an error naming it

  Scenario: JSON values and entities are inverse
    # Guards against a snapshot that changes the meaning of an entity.
    Then every valid entity is equal after a dump, a parse and a snapshot

  Scenario: Equal numbers in different fields
    # Guards against a rank replaced by an equal number when equal values are interned.
    Then a rank of value 0 and a floor of 0 are not interned as one value

  Scenario: Routes by longest prefix
    # Guards against an index of routes whose result differs from a linear search.
    Then the index of a template finds the same route as a linear search

  Scenario: Hostile changes and lists from peers
    # Guards against a damaged message that is applied or whose error ends a task.
    Then any bytes are a valid change, list or snapshot or a configuration error
