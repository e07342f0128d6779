Feature: Sealed messages and frames

  Scenario: Random bytes are rejected
    # Guards against a datagram from anywhere that stops the receiver.
    Then opening any bytes raises nothing but a message error with a known reason

  Scenario: A message with any bit flipped is rejected
    # Guards against a forged or damaged message that is accepted.
    Then flipping any one bit of a sealed message makes it forged

  Scenario: A truncated or extended message is rejected
    # Guards against a part of a message that is accepted as a whole one.
    Then every proper prefix and every extension of a sealed message is rejected

  Scenario: Arbitrary content under the right key is rejected or readable
    # Guards against a faulty peer whose message raises when a field is read.
    Then any payload sealed with the key raises a message error or can be read fully

  Scenario: Damaged messages under the right key are rejected or readable
    # Guards against wrong pointers, list lengths and texts deep in a message.
    Then any changed payload of a sealed message raises or can be read fully

  Scenario: A message that refers to the same bytes many times is rejected
    # Guards against a small message that takes unbounded memory and time.
    Then a list with 500 million empty members is malformed

  Scenario: Replays, old messages and reflections are rejected
    # Guards against recorded messages that are sent again.
    Then each of the three is rejected with its reason

  Scenario: Messages out of order are accepted once
    # Guards against reordered messages rejected as replays, and replays accepted.
    Then any order of messages with repetitions is accepted once for each message

  Scenario: Keys rotate without a lost message
    # Guards against instances that reject each other while keys are exchanged.
    Then instances with the old, both and the new key accept what their keys allow

  Scenario: Replay windows are bounded
    # Guards against memory that grows with each restarted instance.
    Then after messages of 5000 incarnations at most 4096 are remembered

  Scenario: Frames are split as they were written
    # Guards against frames that are joined or split at the wrong place.
    Then any messages cut into any pieces are read back

  Scenario: A long frame is rejected before it is read
    # Guards against memory allocated for a length sent by an unauthenticated peer.
    Then a frame above the limit is rejected after its length alone
