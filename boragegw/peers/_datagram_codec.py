"""Datagram codec: packed capnp messages (``messages.capnp``) followed by a MAC."""

import hashlib
import hmac
import pathlib

import capnp

from boragegw import balancing, blackboard, utils
from boragegw.peers import _authentication, _messages

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("messages.capnp")))

DATAGRAM_LIMIT = 1200  # bytes
MAX_MILLISECONDS = 0xFFFFFFFF  # largest UInt32 of the schema


class MalformedDatagramError(ValueError):
    """A datagram is not from a peer, or is corrupted, replayed or invalid."""


def _milliseconds(seconds):
    return max(0, min(MAX_MILLISECONDS, int(min(seconds, 1e7) * 1000)))


def _write_member(builder, member, age):
    builder.incarnation = member.incarnation
    builder.name = member.name
    builder.dataCentre = member.data_centre
    builder.callerAddress = member.caller_address
    builder.peerAddress = member.peer_address
    builder.beat = member.beat
    builder.ageMs = _milliseconds(age)
    builder.state = int(member.state)
    builder.revision = member.revision
    builder.fleetVersion = member.fleet_version
    builder.confirmedAgeMs = _milliseconds(member.confirmed_age)
    builder.sealed = list(member.sealed)


def _read_member(reader):
    member = blackboard.Member(
        incarnation=reader.incarnation,
        name=reader.name,
        data_centre=reader.dataCentre,
        caller_address=reader.callerAddress,
        peer_address=reader.peerAddress,
        beat=reader.beat,
        state=blackboard.MemberState(reader.state),
        revision=reader.revision,
        fleet_version=reader.fleetVersion,
        confirmed_age=reader.confirmedAgeMs / 1000,
        sealed=tuple(reader.sealed),
    )
    return member, reader.ageMs / 1000


def _write_heartbeat(root, message):
    heartbeat = root.init("heartbeat")
    _write_member(heartbeat.sender, message.sender, 0.0)
    members = heartbeat.init("members", len(message.members))
    for builder, (member, age) in zip(members, message.members, strict=True):
        _write_member(builder, member, age)
    beats = heartbeat.init("beats", len(message.beats))
    for builder, beat in zip(beats, message.beats, strict=True):
        builder.incarnation = beat.incarnation
        builder.beat = beat.beat
        builder.ageMs = _milliseconds(beat.age)


def _read_heartbeat(reader):
    sender, _ = _read_member(reader.sender)
    members = [_read_member(member) for member in reader.members]
    beats = [
        _messages.Beat(beat.incarnation, beat.beat, beat.ageMs / 1000)
        for beat in reader.beats
    ]
    return _messages.Heartbeat(sender, members, beats)


def _write_load_digest(root, message):
    digest = root.init("loadDigest")
    digest.service = message.service
    counts = digest.init("counts", len(message.counts))
    for builder, count in zip(counts, message.counts, strict=True):
        builder.backend = count.backend
        builder.inFlight = min(count.in_flight, 0xFFFF)
    temperatures = digest.init("temperatures", len(message.temperatures))
    for builder, row in zip(temperatures, message.temperatures, strict=True):
        builder.backend = row.backend
        builder.epoch = row.epoch
        builder.warm = row.warm
        builder.draining = row.draining


def _read_load_digest(reader):
    counts = [
        _messages.BackendCount(count.backend, count.inFlight) for count in reader.counts
    ]
    temperatures = [
        _messages.Temperature(row.backend, row.epoch, row.warm, row.draining)
        for row in reader.temperatures
    ]
    return _messages.LoadDigest(reader.service, counts, temperatures)


def _write_quarantine(root, message):
    quarantine = root.init("quarantine")
    quarantine.fingerprint = message.fingerprint
    quarantine.remainingMs = _milliseconds(message.remaining)


def _read_quarantine(reader):
    return _messages.Quarantine(bytes(reader.fingerprint), reader.remainingMs / 1000)


def _write_usage_report(root, message):
    report = root.init("usageReport")
    _write_source(report, message)
    items = report.init("items", len(message.items))
    for builder, item in zip(items, message.items, strict=True):
        builder.account = item.account
        builder.offered = item.offered
        builder.admitted = item.admitted


def _read_usage_report(reader):
    items = [
        balancing.UsageItem(item.account, item.offered, item.admitted)
        for item in reader.items
    ]
    return balancing.UsageReport(reader.name, reader.incarnation, reader.number, items)


def _write_limit_notice(root, message):
    notice = root.init("limitNotice")
    _write_source(notice, message)
    items = notice.init("items", len(message.items))
    for builder, item in zip(items, message.items, strict=True):
        builder.account = item.account
        builder.share = item.share
        builder.offeredRate = item.offered_rate


def _read_limit_notice(reader):
    items = [
        balancing.LimitItem(item.account, item.share, item.offeredRate)
        for item in reader.items
    ]
    return balancing.LimitNotice(reader.name, reader.incarnation, reader.number, items)


def _write_source(builder, message):
    """Write the process that sends a message about allotments, and its sequence."""
    builder.name = message.sender
    builder.incarnation = message.incarnation
    builder.number = message.sequence


_WRITERS = {
    _messages.Heartbeat: _write_heartbeat,
    _messages.LoadDigest: _write_load_digest,
    _messages.Quarantine: _write_quarantine,
    balancing.UsageReport: _write_usage_report,
    balancing.LimitNotice: _write_limit_notice,
}
_READERS = {
    "heartbeat": _read_heartbeat,
    "loadDigest": _read_load_digest,
    "quarantine": _read_quarantine,
    "usageReport": _read_usage_report,
    "limitNotice": _read_limit_notice,
}


def _parse_payload(payload):
    """Return the sender, the sequence, the wall-clock time and the message."""
    root = _SCHEMA.Datagram.from_bytes_packed(payload)
    kind = str(root.which())
    message = _READERS[kind](getattr(root, kind))
    return root.sender, root.sequence, root.sentAtMs / 1000, message


_payloads = utils.InputDecoder(_parse_payload)


class DatagramCodec:
    """Encodes the messages of this process and decodes those of its peers.

    :param secret: key that all peers share.
    :param incarnation: identifier of this run of the process, sent as the sender.
    :param clock: a :class:`~boragegw.utils.Clock`.
    """

    def __init__(self, secret, incarnation, clock):
        self.secret = secret
        self.incarnation = incarnation
        self.clock = clock
        self._sequence = 0
        self._window = _authentication.ReplayWindow()

    def _mac(self, payload):
        digest = hmac.digest(self.secret, b"datagram" + payload, hashlib.sha256)
        return digest[: _authentication.MAC_BYTES]

    def encode(self, message):
        """Return the datagram for ``message``."""
        self._sequence += 1
        root = _SCHEMA.Datagram.new_message()
        root.sender = self.incarnation
        root.sequence = self._sequence
        root.sentAtMs = int(self.clock.wall() * 1000)
        _WRITERS[type(message)](root, message)
        payload = root.to_bytes_packed()
        return payload + self._mac(payload)

    def decode(self, datagram):
        """Return the sender's incarnation and the message.

        :raises MalformedDatagramError: if the MAC is wrong, or the datagram is
            invalid, too old or replayed.
        """
        payload = datagram[: -_authentication.MAC_BYTES]
        mac = datagram[-_authentication.MAC_BYTES :]
        if not payload or not hmac.compare_digest(mac, self._mac(payload)):
            raise MalformedDatagramError("wrong MAC")
        try:
            sender, sequence, sent_at, message = _payloads.decode(payload)
        except utils.MalformedInputError as error:
            raise MalformedDatagramError(str(error)) from error
        if not self._window.accept(sender, sequence, sent_at, self.clock.wall()):
            raise MalformedDatagramError("replayed or too old")
        return sender, message
