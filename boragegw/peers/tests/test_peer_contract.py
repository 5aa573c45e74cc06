"""Tests of datagrams, signed requests and membership among peers."""

import dataclasses

import pytest

from boragegw import balancing, blackboard, decisions, errors, peers, utils

SECRET = b"shared key of the peers"


def codec(clock, incarnation=1, secret=SECRET):
    return peers.DatagramCodec(secret, incarnation, clock)


def member(**changes):
    fields = {
        "incarnation": 2**63 + 5,
        "name": "entry-1",
        "data_centre": "dc-a",
        "caller_address": "10.0.0.1:80",
        "peer_address": "10.0.0.1:90",
        "beat": 7,
        "state": blackboard.MemberState.DRAINING,
        "revision": 12,
        "fleet_version": 3,
        "confirmed_age": 0.25,
        "sealed": (1, 2**64 - 1),
    }
    return blackboard.Member(**{**fields, **changes})


MESSAGES = (
    peers.Heartbeat(member(), [(member(name="other"), 0.5)], [peers.Beat(9, 4, 1.5)]),
    peers.LoadDigest(
        "claims",
        [peers.BackendCount(2**32 - 1, 3)],
        [
            peers.Temperature(1, 1_700_000_000_000, True),
            peers.Temperature(2, 0, False, True),
        ],
    ),
    peers.Quarantine(b"f" * 16, 30.0),
    balancing.UsageReport(
        "entry-1", 2**63, 9, [balancing.UsageItem(2**64 - 1, 12, -3)] * 40
    ),
    balancing.LimitNotice("entry-1", 7, 10, [balancing.LimitItem(1, 0.25, 12.5)] * 30),
)


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_datagram_round_trip(message):
    clock = utils.ManualClock()
    datagram = codec(clock).encode(message)
    sender, decoded = codec(clock, 2).decode(datagram)
    assert sender == 1
    assert decoded == message
    assert len(datagram) <= peers.DATAGRAM_LIMIT


def corrupt_datagrams(datagram):
    yield "empty", b""
    yield "short", datagram[:10]
    yield "cut", datagram[:-1]
    yield "longer", datagram + b"x"
    yield "changed", bytes([datagram[0] ^ 1]) + datagram[1:]
    yield "changed MAC", datagram[:-1] + bytes([datagram[-1] ^ 1])
    yield "foreign", b"GET / HTTP/1.1\r\n\r\n" * 5


def test_malformed_datagrams_are_dropped():
    clock = utils.ManualClock()
    datagram = codec(clock).encode(MESSAGES[0])
    receiver = codec(clock, 2)
    for name, raw in corrupt_datagrams(datagram):
        with pytest.raises(peers.MalformedDatagramError):
            receiver.decode(raw)
            raise AssertionError(name)
    receiver.decode(datagram)


def test_datagram_with_another_secret_is_rejected():
    clock = utils.ManualClock()
    datagram = codec(clock, secret=b"another secret!!").encode(MESSAGES[2])
    with pytest.raises(peers.MalformedDatagramError, match="MAC"):
        codec(clock, 2).decode(datagram)


def test_replayed_datagram_is_dropped():
    """A replayed heartbeat must not keep an entry that has left in the member list."""
    clock = utils.ManualClock()
    sender, receiver = codec(clock), codec(clock, 2)
    datagrams = [sender.encode(MESSAGES[2]) for _ in range(100)]
    receiver.decode(datagrams[99])
    receiver.decode(datagrams[98])
    for old in (datagrams[99], datagrams[98], datagrams[0]):
        with pytest.raises(peers.MalformedDatagramError, match="replayed"):
            receiver.decode(old)


def test_old_datagram_from_an_unknown_sender_is_dropped():
    clock = utils.ManualClock()
    datagram = codec(clock).encode(MESSAGES[2])
    clock.advance(31.0)
    with pytest.raises(peers.MalformedDatagramError, match="too old"):
        codec(clock, 2).decode(datagram)


def test_signature_is_accepted_once_and_for_its_parts_only():
    signer = peers.RequestSigner(SECRET)
    value = signer.sign(1000.0, b"POST", b"/peer/sealed", b"body")
    assert not signer.verify(1000.0, value, b"POST", b"/peer/sealed", b"other")
    assert not signer.verify(1100.0, value, b"POST", b"/peer/sealed", b"body")
    assert not signer.verify(1000.0, b"", b"POST", b"/peer/sealed", b"body")
    assert signer.verify(1000.0, value, b"POST", b"/peer/sealed", b"body")
    assert not signer.verify(1000.0, value, b"POST", b"/peer/sealed", b"body")


def test_sealed_table_round_trip():
    outcomes = {
        "ran": (b"1" * 16, decisions.StoredResponse(200, ((b"a", b"\xff"),), b"\x00")),
        "refused": (
            b"2" * 16,
            errors.RequestError.not_run(errors.Code.OVERLOADED, "full", 1.5),
        ),
    }
    table = decisions.SealedTable(2**64 - 1, float("-inf"), outcomes, 99.0)
    decoded = peers.decode_sealed_table(peers.encode_sealed_table(table))
    assert decoded.incarnation == table.incarnation
    assert decoded.watermark == table.watermark
    assert decoded.outcomes["ran"] == outcomes["ran"]
    error = decoded.outcomes["refused"][1]
    assert (error.code, error.verdict) == (errors.Code.OVERLOADED, "not-run")
    assert error.retry_after == 1.5


@pytest.mark.parametrize("raw", [b"", b"{}", b"[]", b'{"rows": 3}', b"\xff"])
def test_malformed_table_is_rejected(raw):
    with pytest.raises(peers.PeerError):
        peers.decode_sealed_table(raw)


class TestMembership:
    policy = decisions.MembershipPolicy()

    def test_an_old_heartbeat_does_not_revive_a_silent_member(self):
        """A failed entry must not stay in the list of entries that callers use.

        Its peers keep passing on its last heartbeat as if it were new.
        """
        section = blackboard.MembershipSection()
        self.policy.merge(section, member(), 0.0)
        for moment in (1.0, 2.0, 3.5):
            self.policy.merge(section, member(), moment)
            self.policy.merge_heartbeat_counter(
                section, member().incarnation, 7, moment, 0.0
            )
        assert list(section.alive(3.5)) == []

    def test_a_new_heartbeat_clears_a_false_suspicion(self):
        section = blackboard.MembershipSection()
        self.policy.merge(section, member(), 0.0)
        assert list(section.alive(5.0)) == []
        assert self.policy.merge_heartbeat_counter(
            section, member().incarnation, 8, 5.0, 0.1
        )
        assert [m.beat for m in section.alive(5.0)] == [8]

    def test_a_new_incarnation_replaces_the_previous_one(self):
        section = blackboard.MembershipSection()
        self.policy.merge(section, member(state=blackboard.MemberState.SERVING), 0.0)
        newer = member(incarnation=9, state=blackboard.MemberState.SERVING)
        self.policy.merge(section, newer, 0.5)
        assert [m.incarnation for m in section.serving(0.5)] == [9]

    def test_the_table_has_a_capacity_limit(self):
        policy = decisions.MembershipPolicy(capacity=3, forget_after=10.0)
        section = blackboard.MembershipSection()
        for number in range(5):
            row = member(incarnation=number, peer_address=f"10.0.0.1:{number}")
            policy.merge(section, row, 0.0)
        assert len(section.members) == 3
        policy.merge(section, dataclasses.replace(member(), incarnation=50), 20.0)
        assert [m.incarnation for m in section.members.values()] == [50]
